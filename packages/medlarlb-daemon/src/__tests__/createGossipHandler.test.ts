import { expect } from "chai";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import { createGossipHandler } from "../shared/createGossipHandler.js";

const MINUTE_MS = 60_000;

describe("createGossipHandler", () => {
    it("believes that a target is leaving only while the news is fresh", () => {
        const pushed: DecisionInput[] = [];
        const taker = createGossipHandler({
            instanceId: "a1" as never,
            zone: "a",
            peers: {} as never,
            poller: { applyGossip: () => false } as never,
            push: input => pushed.push(input),
        });
        // An instance that starts later gets old rumours too, when the drain may long have been taken back.
        taker.handle({ key: "leaving/e1", version: Date.now() - 10 * MINUTE_MS, value: true });
        expect(pushed).to.deep.equal([]);
        taker.handle({ key: "leaving/e1", version: Date.now(), value: true });
        expect(pushed).to.deep.equal([{ kind: "targetLeaving", targetId: "e1", source: "another instance" }]);
    });
});
