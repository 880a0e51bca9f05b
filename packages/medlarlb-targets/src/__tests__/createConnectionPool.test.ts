import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { expect } from "chai";
import { createConnectionPool } from "../createConnectionPool.js";

interface Result {
    foreignIds: (string | undefined)[];
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
        pool = createConnectionPool({ now: () => performance.now() + passedMs, countConnection: () => undefined, readAnswerId: headers => headers["x-id"] });
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

    const sendRequest = (address?: string, body = Buffer.from("x"), requestId?: string): Promise<Result> =>
        new Promise(resolve => {
            const result: Result = { foreignIds: [], status: undefined, body: "", failure: undefined };
            pool.send(address ?? `127.0.0.1:${(server.address() as AddressInfo).port}`, { method: "POST", path: "/", headers: ["Host", "h"], body, requestId }, {
                onForeignAnswer: (_status, answerId) => {
                    result.foreignIds.push(answerId);
                },
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

    // A process that stands still while a connection opens sees that it is open before its timers. An order would arrive late.
    it("sends nothing on a connection that is found to be open after the time for that", async () => {
        respond = socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        const result = sendRequest();
        passedMs = 1_500;
        expect((await result).failure).to.deep.equal({ sent: false, malformed: false });
        expect(await sendRequest()).to.deep.include({ body: "ok" });
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

    it("gives no connection to two requests at once when one with a shorter idle time has expired", async () => {
        const answers: (() => void)[] = [];
        respond = socket => void answers.push(() => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
        const first = sendRequest();
        const second = sendRequest();
        await new Promise(resolve => setTimeout(resolve, 50));
        answers[0]?.();
        await first;
        sockets[1]?.write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok");
        await second;
        passedMs += 600;
        const sent = [sendRequest(), sendRequest()];
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(connectionCount).to.equal(3);
        answers.slice(2).forEach(answer => answer());
        expect((await Promise.all(sent)).map(each => each.body)).to.deep.equal(["ok", "ok"]);
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
        const handlers = { onForeignAnswer: unexpected, onHead: unexpected, onChunk: unexpected, onEnd: unexpected, onFailure: unexpected };
        const request = pool.send(address, { method: "GET", path: "/", headers: ["Host", "h"], body: undefined, requestId: undefined }, handlers);
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
            const request = pool.send(`127.0.0.1:${(server.address() as AddressInfo).port}`, { method: "GET", path: "/", headers: ["Host", "h"], body: undefined, requestId: undefined }, {
                onForeignAnswer: () => undefined,
                onHead: () => undefined,
                onChunk: chunk => {
                    received += chunk.length;
                    pauses += 1;
                    setTimeout(() => request.resume(), 1);
                    return false;
                },
                onEnd: () => resolve(),
                onFailure: ({ reason }) => reject(new Error(reason)),
            });
        });
        expect(received).to.equal(body.length);
        expect(pauses).to.be.above(3);
    });

    it("answers the next request on a connection whose last response ended with a pause", async () => {
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        respond = socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        await new Promise<void>((resolve, reject) => {
            const request = pool.send(address, { method: "GET", path: "/", headers: ["Host", "h"], body: undefined, requestId: undefined }, {
                onForeignAnswer: () => undefined,
                onHead: () => undefined,
                onChunk: () => {
                    setTimeout(() => request.resume(), 1);
                    return false;
                },
                onEnd: () => resolve(),
                onFailure: ({ reason }) => reject(new Error(reason)),
            });
        });
        await new Promise(resolve => setTimeout(resolve, 20));
        const late = new Promise<string>(resolve => setTimeout(() => resolve("no answer within 1 s"), 1_000));
        expect(await Promise.race([sendRequest(), late])).to.deep.include({ body: "ok", failure: undefined });
    });

    it("reports that a request was never sent when no connection opens", async () => {
        const { port } = server.address() as AddressInfo;
        server.close();
        expect((await sendRequest(`127.0.0.1:${port}`)).failure).to.deep.include({ sent: false });
    });

    describe("with ids", () => {
        const write = (id: string | undefined, body: string): string =>
            `HTTP/1.1 200 OK\r\n${id === undefined ? "" : `X-Id: ${id}\r\n`}Content-Length: ${body.length}\r\n\r\n${body}`;
        const send = (id: string): Promise<Result> => sendRequest(undefined, undefined, id);

        it("drops late answers to earlier requests, however they are split, and waits for the own one", async () => {
            respond = socket => socket.write(write("1", "one"));
            await send("1");
            respond = async socket => {
                for (const byte of write("1", "late") + write("1", "later")) {
                    socket.write(byte);
                    await new Promise(resolve => setImmediate(resolve));
                }
                setTimeout(() => socket.write(write("2", "two")), 100);
            };
            expect(await send("2")).to.deep.equal({ foreignIds: ["1", "1"], status: 200, body: "two", failure: undefined });
            respond = socket => socket.write(write("3", "three"));
            expect(await send("3")).to.deep.include({ foreignIds: [], body: "three" });
            expect(connectionCount).to.equal(2);
        }).timeout(5_000);

        it("takes an answer without an id only for that to the first request of a connection, which then carries no other", async () => {
            respond = socket => socket.write(write(undefined, "one"));
            expect(await send("1")).to.deep.include({ foreignIds: [], body: "one" });
            respond = socket => socket.write(write("2", "two"));
            await send("2");
            expect(connectionCount).to.equal(2);
            respond = socket => socket.write(write(undefined, "other") + write("3", "three"));
            expect(await send("3")).to.deep.include({ foreignIds: [undefined], body: "three" });
            expect(connectionCount).to.equal(2);
        });

        it("reports a failure if only an answer to another request arrives, or if answers to others have no end", async () => {
            respond = socket => socket.write(write("another", "x"), () => setTimeout(() => socket.end(), 100));
            expect(await send("1")).to.deep.include({ foreignIds: ["another"], status: undefined, failure: { sent: true, malformed: false } });
            respond = socket => socket.write(write("another", "x").repeat(100));
            expect(await send("2")).to.deep.include({ failure: { sent: true, malformed: true } });
            respond = socket => socket.write(write("3", "three"));
            await send("3");
            const sendEndless = (socket: Socket): void => void socket.write("y".repeat(65_536), () => !socket.destroyed && sendEndless(socket));
            respond = socket => {
                socket.write("HTTP/1.1 200 OK\r\nX-Id: 3\r\nContent-Length: 9000000000\r\n\r\n");
                sendEndless(socket);
            };
            expect(await send("4")).to.deep.include({ foreignIds: ["3"], failure: { sent: true, malformed: true } });
        }).timeout(5_000);

        it("takes no answer without an id for the own one after an answer to another request", async () => {
            respond = socket => socket.write(write("another", "x") + write(undefined, "other") + write("1", "one"));
            expect(await send("1")).to.deep.include({ foreignIds: ["another", undefined], body: "one" });
        });

        it("waits for the own answer however late it is after one that names no request of the connection", async () => {
            respond = socket => {
                socket.write(write("another", "x"));
                setTimeout(() => socket.write(write("1", "one")), 1_300);
            };
            expect(await send("1")).to.deep.include({ foreignIds: ["another"], body: "one", failure: undefined });
        }).timeout(5_000);

        it("sends a request on no connection that has carried one with its id", async () => {
            respond = socket => socket.write(write("1", "one"));
            await send("1");
            respond = socket => socket.write(write("1", "late") + write("1", "again"));
            await send("1");
            expect(connectionCount).to.equal(2);
        });

        it("doesn't take the end of a connection inside an answer to another request for the end of the own one", async () => {
            respond = socket => socket.end("HTTP/1.1 200 OK\r\nX-Id: another\r\n\r\nwhole");
            expect((await send("1")).failure).to.deep.include({ sent: true });
        });

        it("reports nothing more about a request that is aborted at an answer to another request", async () => {
            respond = socket => socket.write(write("1", "one"));
            await send("1");
            respond = socket => socket.write(write("1", "late") + write("2", "two"));
            const reports: string[] = [];
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            const request = pool.send(address, { method: "POST", path: "/", headers: ["Host", "h"], body: undefined, requestId: "2" }, {
                onForeignAnswer: () => request.abort(),
                onHead: () => void reports.push("head"),
                onChunk: () => reports.push("chunk") > 0,
                onEnd: () => void reports.push("end"),
                onFailure: () => void reports.push("failure"),
            });
            await new Promise(resolve => setTimeout(resolve, 50));
            expect(reports).to.deep.equal([]);
        });

        it("sends a request without an id on a connection of its own", async () => {
            respond = socket => socket.write(write("1", "one"));
            await send("1");
            respond = socket => socket.write(write(undefined, "none"));
            expect(await send("")).to.deep.include({ body: "none" });
            expect(connectionCount).to.equal(2);
        });
    });
});
