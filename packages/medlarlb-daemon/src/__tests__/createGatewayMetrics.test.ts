import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { createGatewayMetrics } from "../gateway/createGatewayMetrics.js";

describe("createGatewayMetrics", () => {
    it("answers 500 if a metric can't be read, and serves the page when it can again", async () => {
        const { server } = createGatewayMetrics();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
        const { rss } = process.memoryUsage;
        try {
            process.memoryUsage.rss = () => {
                throw new Error("the memory can't be read");
            };
            expect((await fetch(url)).status).to.equal(500);
            process.memoryUsage.rss = rss;
            expect((await fetch(url)).status).to.equal(200);
        }
        finally {
            process.memoryUsage.rss = rss;
            server.closeAllConnections();
            server.close();
        }
    });
});
