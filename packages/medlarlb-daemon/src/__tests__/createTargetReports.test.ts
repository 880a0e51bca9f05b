import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { EntryOrigin } from "medlarlb-types/entryOrigin";
import { createTargetReports } from "../gateway/createTargetReports.js";
import { decodeGoneTargets } from "../gateway/decodeGoneTargets.js";

const origin: EntryOrigin = { source: "list", revision: 1, ageMs: 0 };
/** Time in ms after which entries are reported although no other instance has answered. */
const MAX_HOLD_MS = 500;

describe("createTargetReports", () => {
    let reported: string[];
    let reports: ReturnType<typeof createTargetReports>;
    const reportFromCopy = (id: string): void => reports.report({ key: `servers/${id}`, value: "ready", revision: 1 }, undefined, origin, true);

    beforeEach(() => {
        reported = [];
        reports = createTargetReports({
            now: () => performance.now(),
            targetPrefix: "servers/",
            handlers: { onTargetEntry: id => reported.push(id), onTargetGone: id => reported.push(`gone ${id}`) },
            outageEndedAtMs: () => Number.NEGATIVE_INFINITY,
        });
        reports.hold();
    });

    afterEach(() => reports.stop());

    it("reports held entries once other instances have answered, but not those of targets that had left", () => {
        ["e1", "e2"].forEach(reportFromCopy);
        expect(reported).to.deep.equal([]);
        reports.learnGone(decodeGoneTargets([{ id: "e2", agoMs: 2_000 }]));
        reports.endHold();
        expect(reported).to.deep.equal(["e1"]);
        expect(reports.isHolding()).to.equal(false);
    });

    it("reports a target that writes its entry again, or whose entry is removed, without waiting", () => {
        ["e1", "e2"].forEach(reportFromCopy);
        reports.report({ key: "servers/e1", value: "ready again", revision: 2 }, "ready", origin, false);
        reports.report({ key: "servers/e2", value: undefined, revision: 2 }, "ready", origin, false);
        reports.endHold();
        expect(reported).to.deep.equal(["e1", "gone e2"]);
    });

    it("holds entries back only for a while if nobody answers", async () => {
        reportFromCopy("e1");
        await sleep(MAX_HOLD_MS / 2);
        expect(reported).to.deep.equal([]);
        await sleep(MAX_HOLD_MS);
        expect(reported).to.deep.equal(["e1"]);
    });

    it("leaves out what can't be read of the targets that have left", () => {
        const sound = { id: "e1", agoMs: 0 };
        expect(decodeGoneTargets([undefined, 1, "e2", { id: 3, agoMs: 1 }, { id: "e4", agoMs: "1" }, { id: "e5", agoMs: Number.NaN }, sound])).to.deep.equal([sound]);
        expect(decodeGoneTargets("e1")).to.deep.equal([]);
    });
});
