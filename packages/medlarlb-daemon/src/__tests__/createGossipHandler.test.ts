import { expect } from "chai";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import { createGossipHandler } from "../shared/createGossipHandler.js";

const MINUTE_MS = 60_000;

describe("createGossipHandler", () => {
    it("reports a target as leaving only if the gossip entry is recent", () => {
        const pushed: DecisionInput[] = [];
        const handler = createGossipHandler({
            instanceId: "a1" as never,
            zone: "a",
            peers: {} as never,
            targetPoller: { applyGossip: () => false } as never,
            push: input => pushed.push(input),
        });
        // An instance that starts later also receives old gossip entries, whose drain may have been undone long ago.
        handler.handle({ key: "leaving/e1", version: Date.now() - 10 * MINUTE_MS, value: true });
        expect(pushed).to.deep.equal([]);
        handler.handle({ key: "leaving/e1", version: Date.now(), value: true });
        expect(pushed).to.deep.equal([{ kind: "targetLeaving", targetId: "e1", source: "another instance" }]);
    });
});
