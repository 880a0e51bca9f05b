import type { IdempotencyRecord } from "medlarlb-types/idempotencyRecord";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import type { ExecutionStatus } from "medlarlb-types/executionStatus";
import { admitRequest } from "../requests/admitRequest.js";
import { createRefusal } from "../requests/createRefusal.js";
import { refuseRequest } from "../requests/refuseRequest.js";
import { removeRequest } from "../requests/removeRequest.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

const ranByState: Record<IdempotencyRecord["state"], ExecutionStatus> = { claimed: "unknown", completed: "yes", notRun: "no", unknown: "unknown" };

const handleRepeatedKey = (context: DecisionContext, row: RequestRow, record: IdempotencyRecord): void => {
    if (record.fingerprint !== row.request.fingerprint) {
        refuseRequest(context, row, createRefusal.keyReused());
    }
    else if (record.answer !== undefined) {
        context.commands.push({ kind: "replay", requestId: row.request.requestId, record });
        removeRequest(context, row);
    }
    else {
        refuseRequest(context, row, createRefusal.repeat(ranByState[record.state]));
    }
};

/** Applies the outcome of claiming a request's idempotency key. Only a request whose key was claimed is admitted. */
export const applyClaimOutcome = (context: DecisionContext, input: Extract<DecisionInput, { kind: "claim" }>): void => {
    const row = context.requests.get(input.requestId);
    if (row === undefined || row.state !== "claiming") {
        return;
    }
    if (input.outcome === "claimed") {
        admitRequest(context, row);
    }
    else if (input.outcome === "repeat" && input.record !== undefined) {
        handleRepeatedKey(context, row, input.record);
    }
    else {
        refuseRequest(context, row, createRefusal.claimUnavailable());
    }
};
