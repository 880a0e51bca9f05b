import type { Socket } from "node:net";
import { createScriptedEngineServer } from "./createScriptedEngineServer.js";
import type { EndlessAnswer } from "./endlessAnswer.js";
import type { ScriptedRequest } from "./scriptedRequest.js";

/** Rate of 16 MB/s, which shows after what time a connection was closed by the bytes that it has taken. */
const WRITE_INTERVAL_MS = 2;
const WRITE_BYTES = 32_768;

/** Creates a stand-in for an engine whose answers never end, unless they are plain text. It counts the bytes that it could write. */
export const createEndlessEngineServer = (answer: (req: ScriptedRequest) => EndlessAnswer | string) => {
    const requestIds: string[] = [];
    const openSockets = new Set<Socket>();
    let mostBytes = 0;

    const writeWithoutEnd = (socket: Socket, { start, part, pauseMs = 0 }: EndlessAnswer): void => {
        const parts = part.repeat(Math.ceil(WRITE_BYTES / part.length));
        let timer: NodeJS.Timeout | undefined;
        openSockets.add(socket);
        socket.write(start, "latin1");
        const begin = setTimeout(() => {
            timer = setInterval(() => socket.writableNeedDrain || socket.write(parts, "latin1"), WRITE_INTERVAL_MS);
        }, pauseMs);
        socket.once("close", () => {
            clearTimeout(begin);
            clearInterval(timer);
            openSockets.delete(socket);
            mostBytes = Math.max(mostBytes, socket.bytesWritten);
        });
    };

    const engine = createScriptedEngineServer((req, socket) => {
        requestIds.push(req.id);
        const text = answer(req);
        if (typeof text === "string") {
            socket.write(text, "latin1");
        }
        else {
            writeWithoutEnd(socket, text);
        }
    });

    return {
        ...engine,
        /** Ids of the requests that it has received; empty for those without one. */
        requestIds,
        /** Returns the largest number of bytes that a connection has taken before it was closed. */
        mostBytes: (): number => mostBytes,
        /** Returns the number of bytes that connections have taken which are still open. */
        openBytes: (): number => [...openSockets].reduce((sum, socket) => sum + socket.bytesWritten, 0),
        /** Returns the number of connections on which an answer has begun. */
        openCount: (): number => openSockets.size,
    };
};
