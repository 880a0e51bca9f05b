import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createProblem } from "medlarlb-types/createProblem";
import { declaredKinds } from "medlarlb-types/declaredKinds";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { Resource } from "medlarlb-types/resource";
import type { ResourceKind } from "medlarlb-types/resourceKind";
import { readOnlyKinds } from "medlarlb-types/readOnlyKinds";
import type { Problem } from "medlarlb-types/problem";
import findMyWay from "find-my-way";
import { Result } from "true-myth";
import { readBody } from "../caller/readBody.js";
import { sendJson } from "../caller/sendJson.js";
import { sendProblem } from "../caller/sendProblem.js";
import { encodePosition } from "./encodePosition.js";
import { encodeWatchToken } from "./encodeWatchToken.js";
import type { OperatorContext } from "./operatorContext.js";
import { showDecision } from "./showDecision.js";
import { watchDecisions } from "./watchDecisions.js";
import { watchResources } from "./watchResources.js";

interface ResourcePath {
    kind: ResourceKind;
    name: string | undefined;
}

interface ResourceList {
    items: Resource[];
    resourceVersion: string;
}

const MAX_BODY_BYTES = 1_048_576; // the KV service accepts no larger value

const unknownKind = (kind: string): Problem =>
    createProblem("unknown-kind", 404, `there is no kind ${kind}`, `use one of ${[...declaredKinds, ...readOnlyKinds].join(", ")}`);

const notFound = ({ kind, name }: ResourcePath): Problem =>
    createProblem("not-found", 404, `there is no ${kind}/${name}`, `list ${kind} to see which there are`);

/** Creates the HTTP server for operators. It serves resources, watches of them, the audit trail and the status of this instance. */
export const createOperatorServer = (context: OperatorContext): Server => {
    const listResources = async (kind: ResourceKind): Promise<Result<ResourceList, Problem>> => {
        const token = (sequence: number): string =>
            encodeWatchToken({ revision: context.store.revision(), bootId: context.bootId, sequence });
        if (kind === "decisions") {
            const { records, position } = await context.readDecisions(new Map());
            const resourceVersion = encodePosition(position);
            return Result.ok({ items: records.map(record => showDecision(record, resourceVersion)), resourceVersion });
        }
        if (kind === "auditentries") {
            return (await context.readAudit()).map(items => ({ items, resourceVersion: token(0) }));
        }
        const listed = context.watchCache.list(kind);
        return Result.ok({ items: listed.items, resourceVersion: token(listed.sequence) });
    };

    const handleGet = async (
        resourcePath: ResourcePath,
        req: IncomingMessage,
        res: ServerResponse,
        query: URLSearchParams,
    ): Promise<void> => {
        if (query.get("watch") === "1") {
            const from = query.get("resourceVersion") ?? "";
            await (resourcePath.kind === "decisions" ? watchDecisions(context, res, from) : watchResources(context, req, res, resourcePath.kind, from));
            return;
        }
        const resourceList = await listResources(resourcePath.kind);
        if (resourceList.isErr) {
            sendProblem(res, resourceList.error);
            return;
        }
        if (resourcePath.name === undefined) {
            sendJson(res, 200, { kind: resourcePath.kind, ...resourceList.value });
            return;
        }
        const found = resourceList.value.items.find(item => item.name === resourcePath.name);
        if (found === undefined) {
            sendProblem(res, notFound(resourcePath));
            return;
        }
        sendJson(res, 200, found);
    };

    const readChange = async (req: IncomingMessage): Promise<Result<{ spec?: unknown; resourceVersion?: string }, Problem>> => {
        const body = await readBody(req, MAX_BODY_BYTES);
        if (body.isErr) {
            return Result.err(body.error);
        }
        try {
            return Result.ok(JSON.parse(body.value.toString("utf8")) as { spec?: unknown; resourceVersion?: string });
        }
        catch (err) {
            return Result.err(createProblem("bad-json", 400, `the body isn't JSON: ${(err as Error).message}`, "send {\"spec\": {…}}"));
        }
    };

    const handleChange = async (
        resourcePath: ResourcePath,
        req: IncomingMessage,
        res: ServerResponse,
        query: URLSearchParams,
    ): Promise<void> => {
        if (!declaredKinds.includes(resourcePath.kind) || resourcePath.name === undefined) {
            sendProblem(res, createProblem("read-only", 405, `${resourcePath.kind} can't be changed by this request`, `change one of ${declaredKinds.join(", ")} by its name`));
            return;
        }
        const body = req.method === "DELETE" ? Result.ok<{ spec?: unknown; resourceVersion?: string }, Problem>({}) : await readChange(req);
        if (body.isErr) {
            sendProblem(res, body.error);
            return;
        }
        const exists = context.store.entries().has(kvKeys.resource(resourcePath.kind, resourcePath.name));
        if (req.method === "DELETE" && !exists) {
            sendProblem(res, notFound(resourcePath));
            return;
        }
        const outcome = await context.writeConfig({
            kind: resourcePath.kind,
            name: resourcePath.name,
            spec: req.method === "DELETE" ? undefined : body.value.spec ?? {},
            resourceVersion: body.value.resourceVersion ?? query.get("resourceVersion") ?? undefined,
            operator: String(req.headers["x-medlarlb-operator"] ?? "anonymous"),
        });
        outcome.match({
            Ok: ({ revision }) =>
                sendJson(res, 200, { kind: resourcePath.kind, name: resourcePath.name, resourceVersion: String(revision) }),
            Err: problem => sendProblem(res, problem),
        });
    };

    const router = findMyWay({
        defaultRoute: (req, res) => sendProblem(res as ServerResponse, createProblem("unknown-path", 404, `nothing is served at ${req.url}`, "use /apis/v1/<kind>[/<name>]")),
    });

    const withKnownKind = (handler: typeof handleGet) =>
        (req: IncomingMessage, res: ServerResponse, params: Record<string, string | undefined>, query: URLSearchParams): void => {
            const kind = (params.kind ?? "") as ResourceKind;
            if (!declaredKinds.includes(kind) && !readOnlyKinds.includes(kind)) {
                sendProblem(res, unknownKind(kind));
                return;
            }
            handler({ kind, name: params.name }, req, res, query).catch((err: Error) => {
                sendProblem(res, createProblem("internal-error", 500, err.message, "report this with the log of the instance"));
            });
        };

    const addRoute = (method: "GET" | "PUT" | "DELETE", path: string, handler: typeof handleGet): void => {
        router.on(method, path, (req, res, params) => {
            const query = new URL(req.url ?? "/", "http://127.0.0.1").searchParams;
            withKnownKind(handler)(req as IncomingMessage, res as ServerResponse, params, query);
        });
    };
    addRoute("GET", "/apis/v1/:kind", handleGet);
    addRoute("GET", "/apis/v1/:kind/:name", handleGet);
    addRoute("PUT", "/apis/v1/:kind/:name", handleChange);
    addRoute("DELETE", "/apis/v1/:kind/:name", handleChange);
    router.on("GET", "/status", (_req, res) => sendJson(res as ServerResponse, 200, context.showStatus()));

    return createServer((req, res) => router.lookup(req, res));
};
