import { expect } from "chai";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import { createGatewayDecisions } from "../createGatewayDecisions.js";
import type { GatewayInput } from "../gatewayInput.js";
import { createSettings } from "./support/createSettings.js";
import { createVirtualService } from "./support/createVirtualService.js";

describe("a target whose entry lapses and is written again", () => {
    const entry = createVirtualService({ seed: 5, instances: 1, zones: 1, targets: 1 }).targets[0]?.entry() ?? expect.fail("no target");
    const { targetId, startedAtMs } = entry;

    /** Returns the target's row after an input, a lapse of its entry, and its new entry. */
    const lapseAfter = (input: GatewayInput, changes: Partial<TargetEntry> = {}) => {
        const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
        decisions.step(1_000, [{ kind: "target", entry }, input]);
        decisions.step(1_010, [{ kind: "targetGone", targetId }]);
        decisions.step(1_020, [{ kind: "target", entry: { ...entry, ...changes } }]);
        return decisions.view().targets.get(targetId) ?? expect.fail("no row");
    };

    const pause: GatewayInput = { kind: "pause", targetId, pauseMs: 4_000 };
    const limit: GatewayInput = { kind: "limit", targetId, perSecond: 5 };

    it("still wants no requests until the end of its pause", () => {
        expect(lapseAfter(pause).pausedUntilMs).to.equal(5_000);
        expect(lapseAfter(pause, { startedAtMs: startedAtMs + 1 }).pausedUntilMs, "after a restart").to.equal(0);
    });

    it("is described by its new entry", () => {
        expect(lapseAfter(limit, { slots: 3 }).entry.slots).to.equal(3);
    });

    it("is still limited, without requests saved up", () => {
        const row = lapseAfter(limit);
        expect([row.requestLimit, row.limitBucket.tokens]).to.deep.equal([5, 0]);
        expect(lapseAfter(limit, { startedAtMs: startedAtMs + 1 }).requestLimit, "after a restart").to.equal(undefined);
    });
});
