import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Predicts how long a request waits until its item is loaded. A service needs no load. */
export const predictLoadMs = (context: DecisionContext, row: RequestRow): number =>
    row.request.kind === "service" ? 0 : context.averageLoadMs;
