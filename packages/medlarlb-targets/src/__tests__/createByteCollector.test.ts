import { expect } from "chai";
import fc from "fast-check";
import { createByteCollector } from "../createByteCollector.js";

describe("createByteCollector", () => {
    it("returns the bytes of all parts, although the memory of a part is used again, and begins anew", () => {
        fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 8 }), parts => {
            const whole = Buffer.concat(parts);
            const collector = createByteCollector(whole.length, "the text");
            for (let round = 0; round < 2; round += 1) {
                for (const part of parts) {
                    const copy = Buffer.from(part);
                    collector.add(copy);
                    copy.fill(0x3f);
                }
                expect(collector.length()).to.equal(whole.length);
                expect(collector.take().equals(whole)).to.equal(true);
                expect(collector.length()).to.equal(0);
            }
        }), { seed: 20261204 });
    });

    it("rejects the part that exceeds its bound", () => {
        const collector = createByteCollector(3, "the text");
        collector.add(Buffer.from("abc"));
        expect(() => collector.add(Buffer.from("d"))).to.throw("the text is longer than 3 bytes");
        expect(collector.take().toString()).to.equal("abc");
    });
});
