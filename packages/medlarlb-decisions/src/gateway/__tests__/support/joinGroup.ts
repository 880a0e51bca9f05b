import type { createGatewayDecisions } from "../../createGatewayDecisions.js";
import type { GatewayInput } from "../../gatewayInput.js";

/** Time in ms for which the instance has been a member, and interval at which it has read the list. */
const MEMBER_MS = 20_000;
const READ_INTERVAL_MS = 2_000;

/** Has an instance be a member of its group for a while by a time, so that it has its part of the shared retry budget. */
export const joinGroup = (
    decisions: ReturnType<typeof createGatewayDecisions>,
    group: Extract<GatewayInput, { kind: "instances" }>,
    untilMs: number,
): void => {
    decisions.step(untilMs - MEMBER_MS, [group]);
    for (let atMs = untilMs - MEMBER_MS; atMs <= untilMs; atMs += READ_INTERVAL_MS) {
        decisions.step(atMs, [{ kind: "listContact", atMs }]);
    }
};
