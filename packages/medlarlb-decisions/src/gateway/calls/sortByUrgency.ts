import type { GatewayContext } from "../gatewayContext.js";
import { callRank } from "../fairness/callRank.js";
import type { CallRow } from "../rows/callRow.js";

interface SortKey {
    row: CallRow;
    isLate: boolean;
    priority: number;
    latencyTargetAtMs: number;
}

/** Returns the time in ms from sending a call to its answer: its wait at the engine and the processing of its prompt. */
const answerDelayMs = (context: GatewayContext, { metadata }: CallRow, engineWaitMs: number): number =>
    (metadata.model === undefined ? 0 : metadata.promptTokens * (context.serviceMsPerWorkUnit.get(metadata.service) ?? 0) + engineWaitMs);

const compareKeys = (one: SortKey, other: SortKey): number =>
    Number(one.isLate) - Number(other.isLate) || one.priority - other.priority || one.latencyTargetAtMs - other.latencyTargetAtMs;

/**
 * Sorts waiting calls, those that are served first in front. Calls that can still be answered in time go before those that
 * are already too late: under overload, serving the oldest first would make every answer just too late. Then the lower rank (the
 * priority, then the recent use of the workspace) goes first, then the earlier latency target. `engineWaitMs` is the wait at an
 * engine that a call may have.
 */
export const sortByUrgency = (context: GatewayContext, rows: readonly CallRow[], engineWaitMs: number): CallRow[] =>
    rows.map((row): SortKey => {
        const { latencyTargetAtMs } = row.metadata;
        const isLate = context.nowMs + answerDelayMs(context, row, engineWaitMs) > latencyTargetAtMs;
        return { row, isLate, priority: callRank(context, row.metadata), latencyTargetAtMs };
    }).sort(compareKeys).map(each => each.row);
