import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { expect } from "chai";
import { createTargetConnection } from "../createTargetConnection.js";

describe("createTargetConnection", () => {
    const sockets: Socket[] = [];
    let server: Server;
    let respond: (socket: Socket) => void;

    before(done => {
        server = createServer(socket => {
            sockets.push(socket);
            socket.on("error", () => undefined);
            socket.on("data", () => respond(socket));
        });
        server.listen(0, "127.0.0.1", done);
    });

    after(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });

    /** Sends a request whose answer can't be passed on, and resolves to the failure that is reported for it. */
    const sendWithThrowingHandler = (): Promise<unknown> => new Promise(resolve => {
        const connection = createTargetConnection({
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            now: () => performance.now(),
            readAnswerId: () => undefined,
            onOpen: () => undefined,
            onFree: () => undefined,
            onClose: () => undefined,
        });
        connection.send({ method: "GET", path: "/", headers: ["Host", "h"], body: undefined, requestId: undefined }, {
            onForeignAnswer: () => undefined,
            onHead: () => undefined,
            onChunk: () => true,
            onEnd: () => {
                throw new Error("the answer can't be passed on");
            },
            onFailure: resolve,
        });
    });

    // FAULT: an address with an impossible port ended the process.
    for (const address of ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1", "", "x y:80"]) {
        it(`fails a request to the address "${address}", which nothing can have, as not sent`, async () => {
            let closed = 0;
            const reported = await new Promise<unknown>(resolve => {
                const connection = createTargetConnection({
                    address,
                    now: () => performance.now(),
                    readAnswerId: () => undefined,
                    onOpen: () => undefined,
                    onFree: () => undefined,
                    onClose: () => {
                        closed += 1;
                    },
                });
                connection.send({ method: "GET", path: "/", headers: [], body: undefined, requestId: undefined }, {
                    onForeignAnswer: () => undefined,
                    onHead: () => undefined,
                    onChunk: () => true,
                    onEnd: () => undefined,
                    onFailure: resolve,
                });
            });
            expect(reported).to.deep.equal({ sent: false, malformed: false, reason: `${address} is not an IP number and a port` });
            expect(closed).to.equal(1);
        });
    }

    const failure = { sent: true, malformed: true, reason: "the answer can't be passed on" };

    // LOST: the error ended the process, with all requests on it.
    it("fails a request whose handler throws at the end of an answer that ends with its connection", async () => {
        respond = socket => socket.end("HTTP/1.1 200 OK\r\n\r\nok");
        expect(await sendWithThrowingHandler()).to.deep.equal(failure);
    });

    // The caller had no answer before its deadline.
    it("fails a request whose handler throws at the end of an answer with a length", async () => {
        respond = socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        expect(await sendWithThrowingHandler()).to.deep.equal(failure);
    });
});
