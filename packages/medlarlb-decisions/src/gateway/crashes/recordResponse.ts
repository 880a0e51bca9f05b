import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { incarnationKey } from "./incarnationKey.js";
import { shareCrashEvidence } from "./shareCrashEvidence.js";

/** Time in ms after a reported end in which a response refutes it. Later, the target may have started again with its id. */
const REFUTABLE_MS = 1_000;

/** Corrects the report that a target has ended if it has responded to a request that was sent after it. */
export const recordResponse = (context: GatewayContext, target: PoolTarget, sentAtMs: number): void => {
    const { targetId, startedAtMs } = target.entry;
    const end = context.crashes.ends.size === 0 ? undefined : context.crashes.ends.get(incarnationKey(targetId, startedAtMs));
    if (end !== undefined && sentAtMs > end.atMs && context.nowMs - end.atMs < REFUTABLE_MS) {
        shareCrashEvidence(context, [{ kind: "alive", targetId, startedAtMs }]);
    }
};
