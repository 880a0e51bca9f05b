import { expect } from "chai";
import { playSlowTarget } from "./support/playSlowTarget.js";

describe("targets that report their duration of work", function () {
    this.timeout(60_000);

    it("have a p99 within 1.5 times that of a lasting slow target while another one is slow four times a second", () => {
        expect(playSlowTarget(true).p99Ms).to.be.at.most(1.5 * playSlowTarget(false).p99Ms);
    });
});
