import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Predicts how long a request waits for a replica that isn't there yet. */
export const predictLoadMs = (context: DecisionContext, row: RequestRow): number =>
    row.request.kind === "service" ? 0 : context.averageLoadMs;
