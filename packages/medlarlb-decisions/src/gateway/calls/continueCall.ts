import type { CallRow } from "../rows/callRow.js";
import type { GatewayWorld } from "../gatewayWorld.js";
import { takeRetry } from "../retries/takeRetry.js";
import { endFlight } from "./endFlight.js";
import { isUsable } from "./isUsable.js";
import { logEvent } from "./logEvent.js";
import { predictStartMs } from "./predictStartMs.js";
import { sendCall } from "./sendCall.js";

/**
 * Lets a stream whose engine is lost go on at the engine that has a copy of its memory. It stays the same run, so that
 * this holds for requests that may run once only, too. Returns whether it goes on.
 */
export const continueCall = (world: GatewayWorld, row: CallRow, reason: string): boolean => {
    const copyId = row.flight?.copyTargetId;
    const target = copyId === undefined ? undefined : world.targets.get(copyId);
    if (!row.delivered || target === undefined || !isUsable(target, world.nowMs) || !takeRetry(world, row.facts.service)) {
        return false;
    }
    logEvent(world, "continued", { request: row.facts.callerRequestId, from: row.flight?.targetId, target: copyId, reason });
    endFlight(world, row);
    row.mayHaveRun = true;
    sendCall(world, row, target, predictStartMs(world, target, row.facts), true);
    return true;
};
