import { expect } from "chai";
import fc from "fast-check";
import { createSseReorderBuffer } from "../createSseReorderBuffer.js";

describe("createSseReorderBuffer", () => {
    it("delivers every event once and in order, however late, repeated or out of order the events arrive", () => {
        const arrivals = fc.integer({ min: 1, max: 40 }).chain(count =>
            fc.tuple(
                fc.constant(count),
                fc.shuffledSubarray(Array.from({ length: count }, (_, index) => index + 1), { minLength: count }),
                fc.array(fc.integer({ min: 1, max: count }), { maxLength: 20 }),
            ));
        fc.assert(fc.property(arrivals, ([count, order, repeats]) => {
            const buffer = createSseReorderBuffer();
            const delivered = [...order, ...repeats].flatMap(offset => buffer.insert({ offset, data: `d${offset}`, hasEventId: true }));
            expect(delivered.map(event => event.offset)).to.deep.equal(Array.from({ length: count }, (_, index) => index + 1));
        }), { seed: 20261203, numRuns: 1_000 });
    });
});
