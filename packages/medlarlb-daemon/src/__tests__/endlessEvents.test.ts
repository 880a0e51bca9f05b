import { expect } from "chai";
import { createSseSplitter } from "../gateway/createSseSplitter.js";

const MAX_EVENT_BYTES = 1_048_576;
const MAX_DURATION_MS = 5_000;

describe("createSseSplitter, with an event that never ends,", () => {
    it("rejects it after the longest event, also if it arrives byte by byte, without copying what it has with each byte", () => {
        const splitter = createSseSplitter();
        const part = Buffer.from("a");
        const startedAtMs = performance.now();
        let bytes = 0;
        expect(() => {
            while (performance.now() - startedAtMs < MAX_DURATION_MS) {
                splitter.push(part);
                bytes += 1;
            }
        }).to.throw("an event of the stream is longer than 1048576 bytes");
        expect(bytes).to.equal(MAX_EVENT_BYTES);
    });
});
