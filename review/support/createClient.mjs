import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";

let sequence = 0;

/**
 * Creates a client with one connection, which it keeps open for its requests. `send` resolves with what the client got: a status
 * and a body, or an error if the connection ended without a whole answer.
 */
export const createClient = ({ name, record, nowMs }) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    return {
        send: ({ address, host, method, path, deadlineMs, headers = {}, body = "", waitMs = deadlineMs }) => new Promise(resolve => {
            sequence += 1;
            const id = `${name}-${sequence}`;
            const [ip, port] = address.split(":");
            const outcome = { id, sentAtMs: nowMs(), status: undefined, headers: undefined, body: "", error: undefined, isKept: false, endedAtMs: 0 };
            const finish = error => {
                outcome.error = error;
                outcome.endedAtMs = nowMs();
                record(`client ${id}: sent at ${outcome.sentAtMs}${outcome.isKept ? " on a kept connection" : ""}, got ${error ?? outcome.status}`);
                resolve(outcome);
            };
            const req = request({
                agent,
                host: ip,
                port,
                method,
                path,
                timeout: waitMs,
                headers: { host, "x-request-id": id, "x-deadline-ms": String(deadlineMs), "content-length": Buffer.byteLength(body), ...headers },
            });
            req.on("response", res => {
                outcome.isKept = req.reusedSocket;
                outcome.status = res.statusCode;
                outcome.headers = res.headers;
                res.on("data", chunk => {
                    outcome.body += chunk;
                });
                res.on("end", () => finish(res.complete ? undefined : "an incomplete answer"));
                res.on("error", err => finish(`an incomplete answer (${err.message})`));
            });
            req.on("timeout", () => req.destroy(new Error(`no answer within ${waitMs} ms`)));
            req.on("error", err => {
                if (outcome.status === undefined) {
                    outcome.isKept = req.reusedSocket;
                    finish(`no answer (${err.message})`);
                }
            });
            req.end(body);
        }),
        close: () => agent.destroy(),
    };
};
