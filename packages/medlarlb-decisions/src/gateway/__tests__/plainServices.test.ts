import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import type { Route } from "medlarlb-types/route";
import { createGatewayDecisions } from "../createGatewayDecisions.js";
import type { GatewayInput } from "../gatewayInput.js";
import { createSettings } from "./support/createSettings.js";

const ROUTE: Route = {
    name: "r",
    host: "h",
    prefix: "/",
    kind: "unsafe",
    timeoutMs: 1_000,
    latencyTargetMs: 130,
    gapTargetMs: undefined,
    priority: 1,
    maxAttempts: 1,
    resumable: false,
    destinations: [{ service: "app", weight: 1 }],
};

const createTargetInput = (zone: string): GatewayInput => ({
    kind: "target",
    entry: {
        targetId: brandAs(`t-${zone}`),
        service: "app",
        address: "10.0.0.1:80",
        zone: brandAs(zone),
        softwareVersion: "v1",
        slots: 6,
        leaving: false,
        startedAtMs: 0,
        remainingMs: undefined,
        models: [],
        inMemory: [],
        onDisk: [],
    },
});

/** Sends requests from zone `a` to a plain service with a target in each of three zones. Returns the share sent within `a`. */
const runRequests = (respond: (targetId: string, index: number) => { status: number; tookMs: number }): number => {
    const decisions = createGatewayDecisions(createSettings("i1", "a"), () => 0.5);
    let nowMs = 1_000;
    decisions.step(nowMs, ["a", "b", "c"].map(createTargetInput));
    let ownZoneCount = 0;
    const requestCount = 200;
    for (let index = 0; index < requestCount; index += 1) {
        nowMs += 100;
        const callId = brandAs<RequestId>(`c${index}`);
        const commands = decisions.step(nowMs, [{
            kind: "call",
            metadata: {
                callId,
                fingerprint: brandAs(callId),
                callerRequestId: callId,
                route: ROUTE,
                service: "app",
                model: undefined,
                adapter: undefined,
                promptTokens: 0,
                outputTokens: 0,
                expectedTokens: 0,
                promptParts: [],
                arrivedAtMs: nowMs,
                latencyTargetAtMs: nowMs + ROUTE.latencyTargetMs,
                firstEventDeadlineAtMs: nowMs + ROUTE.timeoutMs,
                deadlineAtMs: nowMs + ROUTE.timeoutMs,
            },
        }]);
        const sent = commands.find(each => each.kind === "send");
        ownZoneCount += sent?.targetId === "t-a" ? 1 : 0;
        const { status, tookMs } = respond(String(sent?.targetId), index);
        nowMs += tookMs;
        decisions.step(nowMs, [{ kind: "begun", callId, attempt: 1 }, { kind: "finished", callId, attempt: 1, status, longestGapMs: 0 }]);
    }
    return ownZoneCount / requestCount;
};

describe("plain services", () => {
    it("keeps requests in their zone when some of them fail slowly on every target", () => {
        const ownZoneRatio = runRequests((_id, index) => (index % 8 === 0 ? { status: 504, tookMs: 600 } : { status: 200, tookMs: 40 }));
        expect(ownZoneRatio).to.be.above(0.9);
    });

    it("keeps requests in their zone after a single slow answer", () => {
        const ownZoneRatio = runRequests((_id, index) => ({ status: 200, tookMs: index === 0 ? 900 : 40 }));
        expect(ownZoneRatio).to.be.above(0.8);
    });

    it("sends requests to other zones when they fail only on the target of their zone", () => {
        const ownZoneRatio = runRequests((id, index) => ({ status: id === "t-a" && index % 2 === 0 ? 500 : 200, tookMs: 40 }));
        expect(ownZoneRatio).to.be.below(0.5);
    });
});
