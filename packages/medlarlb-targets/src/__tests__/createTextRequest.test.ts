import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { expect } from "chai";
import { createConnectionPool } from "../createConnectionPool.js";
import { createTextRequest } from "../createTextRequest.js";

const MAX_RESPONSE_BYTES = 65_536;
const TIMEOUT_MS = 1_000;
/** Largest number of bytes that a server can write to a connection that is closed at the bound, with what the system buffers. */
const MAX_WRITTEN_BYTES = 4_194_304;
const WRITE_INTERVAL_MS = 1;
const WRITE_BYTES = 32_768;

describe("createTextRequest", () => {
    let server: Server;
    let sockets: Socket[];
    let timers: NodeJS.Timeout[];
    let respond: (socket: Socket) => void;
    const pool = createConnectionPool({ now: () => performance.now(), countConnection: () => undefined, readAnswerId: () => undefined });
    const request = createTextRequest(pool);

    beforeEach(done => {
        sockets = [];
        timers = [];
        server = createServer(socket => {
            sockets.push(socket);
            socket.on("error", () => undefined);
            socket.on("data", () => respond(socket));
        });
        server.listen(0, "127.0.0.1", done);
    });

    afterEach(() => {
        timers.forEach(timer => clearInterval(timer));
        sockets.forEach(socket => socket.destroy());
        server.close();
    });

    after(() => pool.close());

    const send = () => request(`127.0.0.1:${(server.address() as AddressInfo).port}`, {
        method: "GET",
        path: "/",
        headers: [],
        body: undefined,
        timeoutMs: TIMEOUT_MS,
        maxResponseBytes: MAX_RESPONSE_BYTES,
    });

    /** Writes the start of a response, and then one part of it again and again until the connection closes. */
    const writeWithoutEnd = (start: string, part: string) => (socket: Socket): void => {
        const parts = part.repeat(Math.ceil(WRITE_BYTES / part.length));
        socket.write(start);
        timers.push(setInterval(() => !socket.destroyed && socket.write(parts), WRITE_INTERVAL_MS));
    };

    const endless: Record<string, [start: string, part: string]> = {
        "a body until the connection closes": ["HTTP/1.1 200 OK\r\n\r\n", "a"],
        "a chunked body": ["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"],
        "a chunked body, byte by byte,": ["HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"],
        "a body with a length": ["HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "a"],
        "a header section": ["HTTP/1.1 200 OK\r\n", "X-A: a\r\n"],
        "interim responses": ["", "HTTP/1.1 100 Continue\r\n\r\n"],
    };
    for (const [name, [start, part]] of Object.entries(endless)) {
        it(`ends a request when ${name} exceeds its bound, and closes the connection`, async () => {
            respond = writeWithoutEnd(start, part);
            const startedAtMs = performance.now();
            const res = await send();
            expect(performance.now() - startedAtMs).to.be.below(TIMEOUT_MS / 2);
            expect(res.isErr && res.error.tooLong, name).to.equal(name.includes("body"));
            const [socket] = sockets;
            if (socket !== undefined && !socket.destroyed) {
                await new Promise(resolve => socket.once("close", resolve));
            }
            expect(socket?.bytesWritten).to.be.below(MAX_WRITTEN_BYTES);
        });
    }

    it("states that a response is too long, in contrast to one that didn't come", async () => {
        respond = socket => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${MAX_RESPONSE_BYTES + 1}\r\n\r\n`);
        expect((await send()).unwrapOr(undefined)).to.equal(undefined);
        const tooLong = await send();
        expect(tooLong.isErr && tooLong.error).to.deep.equal({ tooLong: true, reason: `the body of the response is longer than ${MAX_RESPONSE_BYTES} bytes` });
        respond = socket => socket.destroy();
        const none = await send();
        expect(none.isErr && none.error.tooLong).to.equal(false);
    });

    const cutResponses: Record<string, string> = {
        "with a length": "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}",
        "in chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n0\r\n\r\n",
        "after an interim response": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}",
        "without a body": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    };
    for (const [name, response] of Object.entries(cutResponses)) {
        it(`takes no part of a response ${name} for the response, wherever its connection ends or is reset`, async () => {
            for (let at = 0; at < response.length; at += 1) {
                respond = socket => socket.end(response.slice(0, at));
                expect((await send()).isErr, `ended after ${at} bytes`).to.equal(true);
                respond = socket => {
                    socket.write(response.slice(0, at));
                    socket.resetAndDestroy();
                };
                expect((await send()).isErr, `reset after ${at} bytes`).to.equal(true);
            }
            respond = socket => socket.end(response);
            expect((await send()).isOk).to.equal(true);
        });
    }

    it("returns a response of the longest length, also byte by byte, and uses the connection again", async () => {
        const body = "b".repeat(MAX_RESPONSE_BYTES);
        respond = socket => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
        const whole = await send();
        expect(whole.isOk && whole.value.text === body).to.equal(true);
        respond = socket => socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${"1\r\nb\r\n".repeat(body.length)}0\r\n\r\n`);
        const chunked = await send();
        expect(chunked.isOk && chunked.value.text === body).to.equal(true);
        expect(sockets).to.have.length(1);
    });

    // FAULT: the timer of a request that couldn't be sent threw when it fired, which ended the process.
    it("rejects if the request can't be sent, and leaves no timer behind", async () => {
        const send = createTextRequest({
            send: () => {
                throw new Error("the request can't be sent");
            },
            close: () => undefined,
        });
        const message = { method: "GET" as const, path: "/", headers: [], body: undefined, timeoutMs: 20, maxResponseBytes: 1 };
        const outcome = await send("127.0.0.1:1", message).then(() => "sent", (err: Error) => err.message);
        expect(outcome).to.equal("the request can't be sent");
        await new Promise(resolve => setTimeout(resolve, 50));
    });
});
