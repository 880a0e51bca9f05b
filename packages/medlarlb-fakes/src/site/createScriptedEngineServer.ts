import { createServer } from "node:net";
import type { Socket } from "node:net";
import type { ScriptedRequest } from "./scriptedRequest.js";

const HEAD_END = "\r\n\r\n";
const LENGTH_FIELD = /^content-length: *(\d+)$/im;

const readHeader = (head: string, name: string): string | undefined =>
    head.split("\r\n").find(line => line.toLowerCase().startsWith(`${name}:`))?.slice(name.length + 1).trim();

/**
 * Creates a stand-in for an engine whose answers a test writes byte by byte: `answer` gets each whole request together with its
 * socket.
 */
export const createScriptedEngineServer = (answer: (req: ScriptedRequest, socket: Socket) => void) => {
    const sockets = new Set<Socket>();

    const handleConnection = (socket: Socket): void => {
        let received = "";
        const previousIds: string[] = [];
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            for (let headEnd = received.indexOf(HEAD_END); headEnd >= 0; headEnd = received.indexOf(HEAD_END)) {
                const head = received.slice(0, headEnd);
                const bodyStart = headEnd + HEAD_END.length;
                const bodyEnd = bodyStart + Number(LENGTH_FIELD.exec(head)?.[1] ?? 0);
                if (received.length < bodyEnd) {
                    return;
                }
                const [method = "", path = ""] = head.split(" ");
                const id = readHeader(head, "x-request-id") ?? "";
                received = received.slice(bodyEnd);
                const expectedTarget = readHeader(head, "x-expect-instance");
                const lastEventId = readHeader(head, "last-event-id");
                answer({ id, method, path, expectedTarget, lastEventId, previousIds: [...previousIds] }, socket);
                previousIds.push(id);
            }
        });
    };

    const server = createServer(handleConnection);
    return {
        server,
        close: (): void => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
};
