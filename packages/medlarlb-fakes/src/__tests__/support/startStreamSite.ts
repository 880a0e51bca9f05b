import { createConnection } from "node:net";
import type { Socket } from "node:net";
import { request } from "undici";
import { waitFor } from "../../cluster/waitFor.js";
import { createMetadataStoreServer } from "../../site/createMetadataStoreServer.js";
import { createScriptedEngineServer } from "../../site/createScriptedEngineServer.js";
import type { ScriptedRequest } from "../../site/scriptedRequest.js";
import { listen } from "../../shared/listen.js";
import { startGatewayProcess } from "./startGatewayProcess.js";

interface StreamAnswer {
    id: string;
    status: number;
    text: string;
    /** Whether the answer ended as a whole one does. */
    isWhole: boolean;
}

interface SendOptions {
    /** Minor version of the caller's HTTP/1. */
    minorVersion?: 0 | 1 | undefined;
    lastEventId?: string | undefined;
}

const ROUTE_HOST = "site.example";
const DEADLINE_MS = 4_000;
const BODY = "x";
const HEAD_END = "\r\n\r\n";

/**
 * Starts a gateway process before scripted engines. Each of the services has a resumable route, `/SERVICE/`, with as many attempts as
 * engines. `answer` gets each request with the number of the attempt, from 0.
 */
export const startStreamSite = async (
    services: readonly string[],
    engineCount: number,
    answer: (req: ScriptedRequest, socket: Socket, attempt: number) => void,
) => {
    const store = createMetadataStoreServer();
    const attempts = new Map<string, number>();
    const engines = Array.from({ length: engineCount }, () => createScriptedEngineServer((req, socket) => {
        const attempt = attempts.get(req.id) ?? 0;
        attempts.set(req.id, attempt + 1);
        answer(req, socket, attempt);
    }));
    let sequence = 0;

    store.put("op/config", JSON.stringify({
        version: 3,
        routes: services.map(name => ({
            name,
            host: ROUTE_HOST,
            prefix: `/${name}/`,
            kind: "streaming",
            timeout_ms: DEADLINE_MS,
            service: name,
            max_attempts: engineCount,
            resumable: true,
        })),
        services: services.map(name => ({ name, health_path: "/health", max_conns: 50 })),
        limits: { max_header_bytes: 4_096, max_body_bytes: 10_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    }));
    for (const [index, { server }] of engines.entries()) {
        const address = `127.0.0.1:${await listen(server, 0)}`;
        for (const service of services) {
            const entry = { service, address, zone: "a", version: "v1", slots: 64, state: "ready", models: [], seq: 1, born: 1 };
            store.put(`servers/${service}-${index}`, JSON.stringify(entry));
        }
    }
    const gateway = await startGatewayProcess(`127.0.0.1:${await listen(store.server, 0)}`);
    await waitFor("all targets are known", () => gateway.log.filter(line => line.event === "targetFound").length === store.count("servers/"));
    // An instance that has just started makes few retries.
    await waitFor("the gateway has its part of the retry budget", () =>
        gateway.log.some(line => line.event === "retryShare" && Number(line.tokens) > 0));

    const sendWithLibrary = async (path: string, headers: Record<string, string>): Promise<Omit<StreamAnswer, "id">> => {
        let text = "";
        const res = await request(`http://${gateway.caller}${path}`, { method: "POST", headers, body: BODY });
        try {
            for await (const chunk of res.body) {
                text += String(chunk);
            }
        }
        catch {
            return { status: res.statusCode, text, isWhole: false };
        }
        return { status: res.statusCode, text, isWhole: true };
    };

    /** Sends a request in HTTP/1.0, whose answer ends with its connection: only a reset shows that it isn't whole. */
    const sendInOldVersion = (path: string, headers: Record<string, string>): Promise<Omit<StreamAnswer, "id">> => new Promise(resolve => {
        const [host, port] = gateway.caller.split(":");
        const socket = createConnection({ host: host ?? "", port: Number(port), allowHalfOpen: true });
        let received = "";
        let isWhole = false;
        const lines = Object.entries({ ...headers, "content-length": String(BODY.length) }).map(([name, value]) => `${name}: ${value}\r\n`);
        socket.write(`POST ${path} HTTP/1.0\r\n${lines.join("")}\r\n${BODY}`);
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
        });
        socket.on("end", () => {
            // Data and a reset that arrive together look like an orderly end. A write reveals the reset before the immediate callback.
            socket.write("\r\n");
            setImmediate(() => {
                isWhole = !socket.destroyed;
                socket.destroy();
            });
        });
        socket.on("error", () => socket.destroy());
        socket.on("close", () => resolve({
            status: Number(received.split(" ")[1] ?? 0),
            text: received.slice(received.indexOf(HEAD_END) + HEAD_END.length),
            isWhole,
        }));
    });

    return {
        send: async (service: string, { minorVersion = 1, lastEventId }: SendOptions = {}): Promise<StreamAnswer> => {
            sequence += 1;
            const id = `r${sequence}`;
            const headers = {
                "host": ROUTE_HOST,
                "x-request-id": id,
                "x-deadline-ms": String(DEADLINE_MS),
                ...(lastEventId === undefined ? {} : { "last-event-id": lastEventId }),
            };
            const send = minorVersion === 0 ? sendInOldVersion : sendWithLibrary;
            return { id, ...await send(`/${service}/${id}`, headers) };
        },
        attemptsOf: (id: string): number => attempts.get(id) ?? 0,
        /** Returns the log's lines `retried` and `answered` of a request. */
        logOf: (id: string): Record<string, unknown>[] =>
            gateway.log.filter(line => line.request === id && ["retried", "answered"].includes(String(line.event))),
        stop: (): void => {
            gateway.stop();
            engines.forEach(engine => engine.close());
            store.close();
        },
    };
};
