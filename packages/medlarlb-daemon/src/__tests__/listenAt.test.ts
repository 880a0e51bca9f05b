import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { expect } from "chai";
import { listenAt } from "../shared/listenAt.js";

describe("listenAt", () => {
    const servers: Server[] = [];
    const create = (): Server => {
        const server = createServer();
        servers.push(server);
        return server;
    };

    afterEach(() => servers.splice(0).forEach(server => server.close()));

    // FAULT: the second error of a server, such as a lack of descriptors, ended the process.
    it("reports each error of a server that listens, and leaves it listening", async () => {
        const server = create();
        const reasons: string[] = [];
        await listenAt(server, "127.0.0.1:0", err => reasons.push(err.message));
        for (const reason of ["accept EMFILE", "accept ENFILE", "accept ECONNABORTED"]) {
            server.emit("error", new Error(reason));
        }
        expect(reasons).to.deep.equal(["accept EMFILE", "accept ENFILE", "accept ECONNABORTED"]);
        expect(server.listening).to.equal(true);
    });

    it("rejects if the address is taken", async () => {
        const first = create();
        await listenAt(first, "127.0.0.1:0", () => undefined);
        const address = `127.0.0.1:${(first.address() as AddressInfo).port}`;
        const outcome = await listenAt(create(), address, () => undefined).then(() => "listens", (err: NodeJS.ErrnoException) => err.code);
        expect(outcome).to.equal("EADDRINUSE");
    });
});
