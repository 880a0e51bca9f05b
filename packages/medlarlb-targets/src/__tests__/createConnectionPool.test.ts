import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { expect } from "chai";
import { createConnectionPool } from "../createConnectionPool.js";

interface Result {
    status: number | undefined;
    body: string;
    failure: { sent: boolean; malformed: boolean } | undefined;
}

describe("createConnectionPool", () => {
    let server: Server;
    let respond: (socket: Socket) => void;
    let connectionCount: number;
    let sockets: Socket[];
    let passedMs: number;
    let pool: ReturnType<typeof createConnectionPool>;

    beforeEach(done => {
        connectionCount = 0;
        sockets = [];
        passedMs = 0;
        pool = createConnectionPool({ now: () => performance.now() + passedMs, countConnection: () => undefined });
        server = createServer(socket => {
            connectionCount += 1;
            sockets.push(socket);
            socket.on("error", () => undefined);
            socket.on("data", () => respond(socket));
        });
        server.listen(0, "127.0.0.1", done);
    });

    afterEach(() => {
        pool.close();
        sockets.forEach(socket => socket.destroy());
        server.close();
    });

    const sendRequest = (address?: string, body = Buffer.from("x")): Promise<Result> =>
        new Promise(resolve => {
            const result: Result = { status: undefined, body: "", failure: undefined };
            pool.send(address ?? `127.0.0.1:${(server.address() as AddressInfo).port}`, { method: "POST", path: "/", headers: ["Host", "h"], body }, {
                onHead: status => {
                    result.status = status;
                },
                onChunk: chunk => {
                    result.body += chunk.toString();
                    return true;
                },
                onEnd: () => resolve(result),
                onFailure: ({ sent, malformed }) => resolve({ ...result, failure: { sent, malformed } }),
            });
        });

    it("uses a connection again after a complete response", async () => {
        respond = socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        expect(await sendRequest()).to.deep.include({ status: 200, body: "ok", failure: undefined });
        await new Promise(resolve => setImmediate(resolve));
        expect(await sendRequest()).to.deep.include({ body: "ok" });
        expect(connectionCount).to.equal(1);
    });

    it("treats a response without a length as complete only if the target closed the connection in order", async () => {
        respond = socket => socket.end("HTTP/1.1 200 OK\r\n\r\nwhole");
        expect(await sendRequest()).to.deep.include({ body: "whole", failure: undefined });
        respond = socket => socket.write("HTTP/1.1 200 OK\r\n\r\npart", () => socket.resetAndDestroy());
        expect((await sendRequest()).failure).to.deep.include({ sent: true });
        // A reset that arrives together with the data looks like an orderly end.
        respond = socket => {
            socket.write("HTTP/1.1 200 OK\r\n\r\npart");
            socket.resetAndDestroy();
        };
        expect((await sendRequest()).failure).to.deep.include({ sent: true });
    });

    it("reports a failure when a response is cut off or isn't HTTP", async () => {
        respond = socket => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
        expect((await sendRequest()).failure).to.deep.include({ sent: true });
        respond = socket => socket.end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
        expect((await sendRequest()).failure).to.deep.include({ sent: true });
        respond = socket => socket.end("nonsense\r\n\r\n");
        expect((await sendRequest()).failure).to.deep.equal({ sent: true, malformed: true });
    });

    it("doesn't use a connection again when bytes follow a response", async () => {
        respond = socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
        await sendRequest();
        await new Promise(resolve => setTimeout(resolve, 20));
        respond = socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        expect(await sendRequest()).to.deep.include({ body: "ok" });
        expect(connectionCount).to.equal(2);
    });

    it("doesn't use a connection again that its target may have closed by now or announces to close", async () => {
        for (const header of ["Keep-Alive: timeout=1", "Connection: close"]) {
            passedMs += 10_000;
            connectionCount = 0;
            respond = socket => socket.write(`HTTP/1.1 200 OK\r\n${header}\r\nContent-Length: 2\r\n\r\nok`);
            await sendRequest();
            passedMs += 600;
            expect(await sendRequest()).to.deep.include({ body: "ok" });
            expect(connectionCount, header).to.equal(2);
        }
    });

    it("doesn't use a connection again whose target answered before it had read the whole request", async function () {
        this.timeout(5_000);
        respond = socket => {
            socket.pause();
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        };
        expect(await sendRequest(undefined, Buffer.alloc(20_000_000))).to.deep.include({ body: "ok" });
        respond = socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        expect(await sendRequest()).to.deep.include({ body: "ok" });
        expect(connectionCount).to.equal(2);
    });

    it("closes the connection of an aborted request and reports nothing about it", async () => {
        const closed = new Promise<void>(resolve => server.once("connection", (socket: Socket) => socket.once("close", () => resolve())));
        const received = new Promise<void>(resolve => {
            respond = () => resolve();
        });
        const unexpected = (): never => expect.fail("an aborted request reported something");
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const handlers = { onHead: unexpected, onChunk: unexpected, onEnd: unexpected, onFailure: unexpected };
        const request = pool.send(address, { method: "GET", path: "/", headers: ["Host", "h"], body: undefined }, handlers);
        await received;
        request.abort();
        await closed;
    });

    it("pauses a response while its handler asks it to, and then delivers the rest", async () => {
        const body = "x".repeat(1_000_000);
        respond = socket => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
        let received = 0;
        let pauses = 0;
        await new Promise<void>((resolve, reject) => {
            const request = pool.send(`127.0.0.1:${(server.address() as AddressInfo).port}`, { method: "GET", path: "/", headers: ["Host", "h"], body: undefined }, {
                onHead: () => undefined,
                onChunk: chunk => {
                    received += chunk.length;
                    pauses += 1;
                    setTimeout(() => request.resume(), 1);
                    return false;
                },
                onEnd: resolve,
                onFailure: ({ reason }) => reject(new Error(reason)),
            });
        });
        expect(received).to.equal(body.length);
        expect(pauses).to.be.above(3);
    });

    it("reports that a request was never sent when no connection opens", async () => {
        const { port } = server.address() as AddressInfo;
        server.close();
        expect((await sendRequest(`127.0.0.1:${port}`)).failure).to.deep.include({ sent: false });
    });
});
