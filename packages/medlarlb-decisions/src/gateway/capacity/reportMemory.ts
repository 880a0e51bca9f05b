import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { heldTokens } from "./heldTokens.js";
import { isMemoryAmple } from "./isMemoryAmple.js";

type MemoryReport = Pick<InstanceStatus["loads"][number], "contextTokens" | "wantsMemory">;

/** Time in ms for which an instance competes for an engine's memory after a call has waited for it. */
const WANTED_VALID_MS = 1_000;
/** Reports that are kept: more than are sent while another instance's report counts. */
const MAX_REPORTS = 64;

/**
 * Returns the tokens of an engine's memory that this instance tells others that it holds, and records them. It is missing if it
 * doesn't use or want any, or if the memory is ample.
 */
export const reportMemory = (context: GatewayContext, target: PoolTarget): MemoryReport => {
    const { memory } = target;
    if (context.settings.engineMemoryRatio <= 0) {
        return {};
    }
    memory.abandoned = memory.abandoned.filter(each => each.untilMs > context.nowMs);
    const tokens = isMemoryAmple(context, target) ? 0 : heldTokens(target, context.nowMs);
    const isWanted = !isMemoryAmple(context, target) && context.nowMs - memory.wantedAtMs <= WANTED_VALID_MS;
    if (tokens === 0 && !isWanted) {
        memory.reports = [];
        return {};
    }
    memory.reports = [...memory.reports.slice(1 - MAX_REPORTS), { atMs: context.nowMs, tokens, isWanted }];
    return { contextTokens: tokens, ...(isWanted ? { wantsMemory: true } : {}) };
};
