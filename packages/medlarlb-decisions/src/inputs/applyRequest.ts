import type { RequestSummary } from "medlarlb-types/requestSummary";
import { admitRequest } from "../requests/admitRequest.js";
import { createRefusal } from "../requests/createRefusal.js";
import { isRequestQuarantined } from "../requests/isRequestQuarantined.js";
import { refuseRequest } from "../requests/refuseRequest.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

const isConfigured = (context: DecisionContext, request: RequestSummary): boolean =>
    request.kind === "service" ? context.config.services.has(request.name) : context.itemsByName.has(request.name);

/** Adds a caller's request. One with an idempotency key waits until its key is claimed. */
export const applyRequest = (context: DecisionContext, request: RequestSummary): void => {
    const crashes = context.crashRecords.get(request.fingerprint)?.crashes ?? 0;
    const row: RequestRow = {
        request,
        state: "claiming",
        attemptId: undefined,
        targetId: undefined,
        itemId: undefined,
        sentAtMs: 0,
        attempts: 0,
        resumes: 0,
        excludedTargets: new Set(),
        mayHaveRun: false,
        isolated: crashes > 0,
        countedUnmet: false,
        lastDecision: undefined,
    };
    context.requests.set(request.requestId, row);
    if (!isConfigured(context, request)) {
        refuseRequest(context, row, createRefusal.unknownName(request.name));
    }
    else if (isRequestQuarantined(context, request.fingerprint)) {
        refuseRequest(context, row, createRefusal.quarantined(crashes));
    }
    else if (request.idempotencyKey !== undefined) {
        context.commands.push({ kind: "claim", requestId: request.requestId, key: request.idempotencyKey });
    }
    else {
        admitRequest(context, row);
    }
};
