import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { probeListening } from "../probeListening.js";

describe("a probe of an address", () => {
    it("tells a process that listens from one that has ended", async () => {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        expect(await probeListening(address)).to.equal("listening");
        await new Promise(resolve => server.close(resolve));
        expect(await probeListening(address)).to.equal("refused");
    });
});
