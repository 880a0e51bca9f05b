import type { RequestSummary } from "medlarlb-types/requestSummary";
import { admitRequest } from "../requests/admitRequest.js";
import { createRefusal } from "../requests/createRefusal.js";
import { isQuarantined } from "../requests/isQuarantined.js";
import { refuseRequest } from "../requests/refuseRequest.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

const isConfigured = (world: DecisionContext, request: RequestSummary): boolean =>
    request.kind === "service" ? world.config.services.has(request.name) : world.itemsByName.has(request.name);

/** Takes in a caller's request. A keyed one waits until its key is claimed. */
export const applyRequest = (world: DecisionContext, request: RequestSummary): void => {
    const crashes = world.suspects.get(request.fingerprint)?.crashes ?? 0;
    const row: RequestRow = {
        request,
        state: "claiming",
        attemptId: undefined,
        targetId: undefined,
        itemId: undefined,
        sentAtMs: 0,
        attempts: 0,
        resumes: 0,
        excluded: new Set(),
        mayHaveRun: false,
        isolated: crashes > 0,
        countedUnmet: false,
        lastDecision: undefined,
    };
    world.requests.set(request.requestId, row);
    if (!isConfigured(world, request)) {
        refuseRequest(world, row, createRefusal.unknownName(request.name));
    }
    else if (isQuarantined(world, request.fingerprint)) {
        refuseRequest(world, row, createRefusal.quarantined(crashes));
    }
    else if (request.idempotencyKey !== undefined) {
        world.commands.push({ kind: "claim", requestId: request.requestId, key: request.idempotencyKey });
    }
    else {
        admitRequest(world, row);
    }
};
