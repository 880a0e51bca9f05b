import { expect } from "chai";
import type { VirtualStream } from "./virtualStream.js";

/** Number of streams taken up from which the users' pages ask that no less than half go on. */
const MIN_TAKEN_UP = 12;
const MIN_SHARE = 0.5;

/** Checks that no stream holds events of two versions, and that half of those go on that the users' pages ask for. */
export const expectOneVersion = (streams: readonly VirtualStream[], seed: number, index: number): void => {
    const mixed = streams.filter(each => new Set(each.versions).size > 1);
    expect(mixed.length, `mixed streams of ${streams.length} with seed ${seed}, index ${index}`).to.equal(0);
    const owed = streams.flatMap(each => each.attempts.filter(attempt => attempt.isOwed));
    if (owed.length >= MIN_TAKEN_UP) {
        const share = owed.filter(each => each.hasBegun).length / owed.length;
        expect(share, `share of ${owed.length} that go on with seed ${seed}, index ${index}`).to.be.at.least(MIN_SHARE);
    }
};
