import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { brandAs } from "medlarlb-types/brandAs";
import type { ConfigSnapshot } from "medlarlb-types/configSnapshot";
import { createProblem } from "medlarlb-types/createProblem";
import type { RequestId } from "medlarlb-types/requestId";
import type { createRequestProxy } from "./createRequestProxy.js";
import { readBody } from "./readBody.js";
import { readSummary } from "./readSummary.js";
import { sendJson } from "./sendJson.js";
import { sendProblem } from "./sendProblem.js";

interface CallerServerOptions {
    requestProxy: ReturnType<typeof createRequestProxy>;
    config: () => ConfigSnapshot;
    maxBodyBytes: number;
    defaultDeadlineMs: number;
    /** Whether the instance is ready for new requests. The platform's load balancer reads it at `/readyz`. */
    isReady: () => boolean;
}

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const MAX_HEADER_BYTES = 16_384;

const clientErrors: Record<string, { status: string; detail: string; remedy: string }> = {
    HPE_HEADER_OVERFLOW: { status: "431 Request Header Fields Too Large", detail: `the headers are over ${MAX_HEADER_BYTES} bytes`, remedy: "send smaller headers" },
    ERR_HTTP_REQUEST_TIMEOUT: { status: "408 Request Timeout", detail: "the request came too slowly", remedy: "send the whole request within 30 s" },
};

/** Answers a request that isn't valid HTTP, or arrives too slowly, with a problem document. */
const answerClientError = (err: NodeJS.ErrnoException, socket: Socket): void => {
    if (!socket.writable) {
        return;
    }
    const clientError = clientErrors[err.code ?? ""] ?? { status: "400 Bad Request", detail: "the bytes are not an HTTP request", remedy: "send HTTP/1.1" };
    const status = Number(clientError.status.slice(0, 3));
    const body = JSON.stringify(createProblem("bad-request", status, clientError.detail, clientError.remedy, { ran: "no" }));
    socket.end(`HTTP/1.1 ${clientError.status}\r\ncontent-type: application/problem+json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`);
};

const listModels = (config: ConfigSnapshot) => {
    const names = [...config.models.keys(), ...config.modelversions.keys(), ...config.adapters.keys()];
    return { object: "list", data: names.map(id => ({ id, object: "model", created: 0, owned_by: "medlarlb" })) };
};

/** Creates the HTTP server for callers, with an OpenAI-style inference API and plain services under `/services/<name>`. */
export const createCallerServer = (options: CallerServerOptions): Server => {
    const serveRequest = async (
        req: IncomingMessage,
        res: ServerResponse,
        serviceName: string | undefined,
        path: string,
    ): Promise<void> => {
        const body = await readBody(req, options.maxBodyBytes);
        if (body.isErr) {
            res.setHeader("connection", "close");
            sendProblem(res, body.error);
            return;
        }
        const nonIdempotent = options.config().services.get(serviceName ?? "")?.nonIdempotent ?? false;
        const summary = readSummary(req, body.value, {
            requestId: brandAs<RequestId>(randomUUID()),
            defaultDeadlineMs: options.defaultDeadlineMs,
            service: serviceName === undefined ? undefined : { name: serviceName, nonIdempotent },
        });
        if (summary.isErr) {
            sendProblem(res, summary.error);
            return;
        }
        const callerId = req.headers["x-request-id"];
        options.requestProxy.accept({
            summary: summary.value,
            method: req.method ?? "POST",
            path,
            contentType: req.headers["content-type"] ?? "application/json",
            body: body.value,
            res,
            callerId: typeof callerId === "string" ? callerId : undefined,
        });
    };

    const route = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const path = req.url ?? "/";
        const service = /^\/services\/([^/?]+)(.*)$/.exec(path);
        if (!options.isReady()) {
            res.setHeader("connection", "close");
        }
        if (service) {
            await serveRequest(req, res, decodeURIComponent(service[1] ?? ""), service[2] === "" ? "/" : service[2] ?? "/");
        }
        else if (req.method === "POST" && (path === "/v1/chat/completions" || path === "/v1/completions")) {
            await serveRequest(req, res, undefined, path);
        }
        else if (path === "/v1/models") {
            sendJson(res, 200, listModels(options.config()));
        }
        else if (path === "/readyz") {
            sendJson(res, options.isReady() ? 200 : 503, { ready: options.isReady() });
        }
        else {
            const remedy = "use /v1/chat/completions, /v1/completions, /v1/models or /services/<name>/…";
            sendProblem(res, createProblem("unknown-path", 404, `nothing is served at ${path}`, remedy, { ran: "no" }));
        }
    };

    const server = createServer({
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
        noDelay: true,
    }, (req, res) => {
        route(req, res).catch((err: Error) => {
            if (!res.headersSent) {
                sendProblem(res, createProblem("internal-error", 500, err.message, "report this with the log of the instance", { ran: "unknown" }));
            }
        });
    });
    server.on("clientError", answerClientError);
    return server;
};
