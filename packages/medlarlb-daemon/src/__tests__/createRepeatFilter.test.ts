import { expect } from "chai";
import { createRepeatFilter } from "../gateway/createRepeatFilter.js";
import { createSseSplitter } from "../gateway/createSseSplitter.js";
import { createStreamProgress } from "../gateway/createStreamProgress.js";

const event = (id: number): string => `id: ${id}\ndata: event ${id}\n\n`;
const UNNAMED_EVENT = "data: event without an id\n\n";
const COMMENT = ": comment\n\n";

/** Returns what a caller gets who takes up a stream after an event, part by part. */
const takeUp = (lastId: string, parts: readonly string[]): string[] => {
    const splitter = createSseSplitter();
    const progress = createStreamProgress(lastId);
    const filter = createRepeatFilter(splitter.list, progress);
    return parts.map(part => {
        const rest = filter.skip(Buffer.from(part));
        progress.record(splitter.count(rest), splitter.lastId(rest), () => undefined);
        return rest.toString();
    });
};

describe("createRepeatFilter", () => {
    // Callers who took up a stream got again what had come between the events that they had.
    it("drops events without ids that come before the last event of a caller who takes up a stream", () => {
        expect(takeUp("3", [event(1), UNNAMED_EVENT, event(2) + COMMENT + event(3) + event(4)])).to.deep.equal(["", "", event(4)]);
    });

    it("passes on events without ids before the first one with an id, and after the last one of the caller", () => {
        const parts = [COMMENT, event(2), event(3) + UNNAMED_EVENT, event(4), UNNAMED_EVENT, event(5) + COMMENT];
        expect(takeUp("3", parts)).to.deep.equal([COMMENT, "", UNNAMED_EVENT, event(4), UNNAMED_EVENT, event(5) + COMMENT]);
        expect(takeUp("3", [event(4), UNNAMED_EVENT + event(5)])).to.deep.equal([event(4), UNNAMED_EVENT + event(5)]);
    });
});
