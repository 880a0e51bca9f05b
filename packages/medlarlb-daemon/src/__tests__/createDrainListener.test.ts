import { PassThrough } from "node:stream";
import { expect } from "chai";
import { createDrainListener } from "../gateway/createDrainListener.js";

describe("createDrainListener", () => {
    it("adds one listener, although many chunks of one read find the caller's connection full", () => {
        const stream = new PassThrough();
        let drains = 0;
        const resumeAfterDrain = createDrainListener(() => {
            drains += 1;
        });
        for (let round = 1; round <= 2; round += 1) {
            Array.from({ length: 20 }, () => resumeAfterDrain(stream));
            expect(stream.listenerCount("drain")).to.equal(1);
            stream.emit("drain");
            expect(drains).to.equal(round);
        }
    });
});
