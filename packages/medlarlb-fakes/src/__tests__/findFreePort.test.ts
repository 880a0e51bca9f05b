import { expect } from "chai";
import { findFreePort } from "../cluster/findFreePort.js";

const SEARCHES = 2_000;

describe("The search for free ports", () => {
    // Two addresses of one process were the same port, so that it couldn't start.
    it("finds no port twice while nothing listens on it yet", async () => {
        const ports = new Set<number>();
        for (let count = 0; count < SEARCHES; count += 1) {
            ports.add(await findFreePort());
        }
        expect(ports.size).to.equal(SEARCHES);
    });
});
