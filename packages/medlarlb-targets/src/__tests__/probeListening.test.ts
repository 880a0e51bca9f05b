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

    // FAULT: the rejection of a probe, which nobody handled, ended the process.
    it("takes an address that nothing can have for a silent one", async () => {
        for (const address of ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1", "", "x y:80"]) {
            expect(await probeListening(address)).to.equal("silent");
        }
    });

    it("closes its connection to a process that writes without end", async () => {
        let timer: NodeJS.Timeout | undefined;
        let writtenBytes: number | undefined;
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            timer = setInterval(() => socket.writableNeedDrain || socket.write(Buffer.alloc(65_536, "?")), 1);
            socket.once("close", () => {
                clearInterval(timer);
                writtenBytes = socket.bytesWritten;
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        expect(await probeListening(`127.0.0.1:${(server.address() as AddressInfo).port}`)).to.equal("listening");
        await new Promise(resolve => setTimeout(resolve, 200));
        expect(writtenBytes).to.be.a("number").and.below(1_048_576);
        server.close();
    });
});
