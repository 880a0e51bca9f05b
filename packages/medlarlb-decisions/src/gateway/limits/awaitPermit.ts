import { isUsable } from "../calls/isUsable.js";
import { mayServe } from "../calls/mayServe.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { ModelPool } from "../rows/modelPool.js";
import { hasPermit } from "./hasPermit.js";
import { permitSource } from "./permitSource.js";
import { requestPermit } from "./requestPermit.js";

const MS_PER_SECOND = 1_000;

/**
 * Asks for permits of the limited targets that could run a waiting call. Returns the predicted time in ms until one of them may
 * get it, or undefined if no target is held back by its limit.
 */
export const awaitPermit = (context: GatewayContext, row: CallRow, pool: ModelPool): number | undefined => {
    let perSecond = 0;
    let isHeldBack = false;
    for (const target of context.limitedTargets) {
        const isCandidate = pool.targets.has(target) && isUsable(target, context.nowMs) && mayServe(row, target);
        if (isCandidate && !hasPermit(context, target)) {
            isHeldBack = true;
            perSecond += permitSource(context, target).kind === "none" ? 0 : (target.requestLimit ?? 0) / target.permitCompetitors;
            requestPermit(context, target, true);
        }
    }
    return isHeldBack ? (pool.waiting.indexOf(row) + 1) * MS_PER_SECOND / perSecond : undefined;
};
