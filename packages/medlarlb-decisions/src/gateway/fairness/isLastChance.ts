import type { predictLatency } from "../calls/predictLatency.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";

/**
 * Returns whether a call that was promised a target has to be sent now, although others may have filled the targets: later, its
 * answer would be too late, and a refusal by a target is known sooner than its turn.
 */
export const isLastChance = (context: GatewayContext, row: CallRow, { answerMs }: ReturnType<typeof predictLatency>): boolean =>
    row.attempts === 0 && context.fairness.promised.has(row) && context.nowMs + answerMs >= row.metadata.latencyTargetAtMs;
