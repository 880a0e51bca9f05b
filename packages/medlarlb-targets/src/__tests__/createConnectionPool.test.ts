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

    beforeEach(done => {
        connectionCount = 0;
        server = createServer(socket => {
            connectionCount += 1;
            socket.on("error", () => undefined);
            socket.on("data", () => respond(socket));
        });
        server.listen(0, "127.0.0.1", done);
    });

    afterEach(() => {
        server.close();
    });

    const sendRequest = (pool: ReturnType<typeof createConnectionPool>, address?: string): Promise<Result> =>
        new Promise(resolve => {
            const result: Result = { status: undefined, body: "", failure: undefined };
            pool.send(address ?? `127.0.0.1:${(server.address() as AddressInfo).port}`, { method: "POST", path: "/", headers: ["Host", "h"], body: Buffer.from("x") }, {
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

    const createPool = () => createConnectionPool({ now: () => performance.now(), countConnection: () => undefined });

    it("uses a connection again after a complete response", async () => {
        const pool = createPool();
        respond = socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        expect(await sendRequest(pool)).to.deep.include({ status: 200, body: "ok", failure: undefined });
        await new Promise(resolve => setImmediate(resolve));
        expect(await sendRequest(pool)).to.deep.include({ body: "ok" });
        expect(connectionCount).to.equal(1);
        pool.close();
    });

    it("treats a response without a length as complete only if the target closed the connection in order", async () => {
        const pool = createPool();
        respond = socket => socket.end("HTTP/1.1 200 OK\r\n\r\nwhole");
        expect(await sendRequest(pool)).to.deep.include({ body: "whole", failure: undefined });
        respond = socket => socket.write("HTTP/1.1 200 OK\r\n\r\npart", () => socket.resetAndDestroy());
        expect((await sendRequest(pool)).failure).to.deep.include({ sent: true });
        pool.close();
    });

    it("reports a failure when a response is cut off or isn't HTTP", async () => {
        const pool = createPool();
        respond = socket => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
        expect((await sendRequest(pool)).failure).to.deep.include({ sent: true });
        respond = socket => socket.end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
        expect((await sendRequest(pool)).failure).to.deep.include({ sent: true });
        respond = socket => socket.end("nonsense\r\n\r\n");
        expect((await sendRequest(pool)).failure).to.deep.equal({ sent: true, malformed: true });
        pool.close();
    });

    it("doesn't use a connection again when bytes follow a response", async () => {
        const pool = createPool();
        respond = socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
        await sendRequest(pool);
        await new Promise(resolve => setTimeout(resolve, 20));
        respond = socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        expect(await sendRequest(pool)).to.deep.include({ body: "ok" });
        expect(connectionCount).to.equal(2);
        pool.close();
    });

    it("reports that a request was never sent when no connection opens", async () => {
        const pool = createPool();
        const { port } = server.address() as AddressInfo;
        server.close();
        expect((await sendRequest(pool, `127.0.0.1:${port}`)).failure).to.deep.include({ sent: false });
        pool.close();
    });
});
