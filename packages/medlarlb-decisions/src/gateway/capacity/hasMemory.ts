import type { GatewayContext } from "../gatewayContext.js";
import { logEvent } from "../calls/logEvent.js";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { countedMemory } from "./countedMemory.js";
import { heldTokens } from "./heldTokens.js";
import { isMemoryAmple } from "./isMemoryAmple.js";
import { listPromptParts } from "./listPromptParts.js";
import { memoryAllowance } from "./memoryAllowance.js";

/** Time in ms without a call that waited for an engine's memory, after which the next one is logged. */
const LOG_INTERVAL_MS = 1_000;

/** Returns whether an engine has memory for a call, beside what all instances hold there or may send meanwhile. */
export const hasMemory = (context: GatewayContext, row: CallRow, target: PoolTarget): boolean => {
    const { metadata } = row;
    if (metadata.model === undefined || isMemoryAmple(context, target)) {
        return true;
    }
    const capacity = countedMemory(context, metadata.service);
    const added = { contextTokens: metadata.promptTokens + metadata.outputTokens, promptParts: listPromptParts(row) };
    const neededTokens = heldTokens(target, context.nowMs, added);
    const allowedTokens = memoryAllowance(context, target, capacity);
    const isFree = neededTokens <= allowedTokens;
    if (!isFree) {
        if (context.nowMs - target.memory.wantedAtMs > LOG_INTERVAL_MS) {
            const { targetId } = target.entry;
            logEvent(context, "memoryFull", { target: targetId, neededTokens, allowedTokens: Math.floor(allowedTokens), capacity });
        }
        target.memory.wantedAtMs = context.nowMs;
    }
    return isFree;
};
