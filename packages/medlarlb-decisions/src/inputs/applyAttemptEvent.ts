import type { AttemptEvent } from "medlarlb-types/attemptEvent";
import type { AttemptId } from "medlarlb-types/attemptId";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import { createId } from "../createId.js";
import { recordDecision } from "../recordDecision.js";
import { createRefusal } from "../requests/createRefusal.js";
import { isRequestQuarantined } from "../requests/isRequestQuarantined.js";
import { refuseRequest } from "../requests/refuseRequest.js";
import { removeRequest } from "../requests/removeRequest.js";
import { retryRequest } from "../requests/retryRequest.js";
import { recordCrash } from "../requests/recordCrash.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { TargetRow } from "../rows/targetRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { markLeaving } from "./markLeaving.js";
import { markSilent } from "./markSilent.js";
import { setResidentItems } from "./setResidentItems.js";

type AttemptInput = Extract<DecisionInput, { kind: "attempt" }>;
type BrokenEvent = Extract<AttemptEvent, { kind: "broken" }>;
type RejectedEvent = Extract<AttemptEvent, { kind: "rejected" }>;

const MAX_RESUMES = 3;
const SILENT_AFTER_CONNECT_FAILURES = 2;
const SERVICE_TIME_WEIGHT = 0.1; // weight of the newest request in the moving average

const handleCompletion = (context: DecisionContext, row: RequestRow, target: TargetRow | undefined): void => {
    if (target !== undefined) {
        target.averageServiceMs += SERVICE_TIME_WEIGHT * (context.nowMs - row.sentAtMs - target.averageServiceMs);
        target.connectFailures = 0;
    }
    if (row.isolated) {
        context.crashRecords.delete(row.request.fingerprint);
    }
    removeRequest(context, row);
};

const handleRejection = (context: DecisionContext, row: RequestRow, target: TargetRow | undefined, event: RejectedEvent): void => {
    if (target !== undefined) {
        row.excludedTargets.add(target.targetId);
        if (event.leaving) {
            markLeaving(context, target.targetId, "its refusal");
        }
        if (event.notResident && row.itemId !== undefined) {
            setResidentItems(context, target, new Set([...target.resident].filter(itemId => itemId !== row.itemId)));
        }
    }
    retryRequest(context, row, `the target did not run the request: ${event.reason}`, "no");
};

const handleNotSent = (context: DecisionContext, row: RequestRow, target: TargetRow | undefined, reason: string): void => {
    if (target !== undefined) {
        row.excludedTargets.add(target.targetId);
        target.connectFailures += 1;
        if (target.connectFailures >= SILENT_AFTER_CONNECT_FAILURES) {
            markSilent(context, target.targetId, `connections fail: ${reason}`);
        }
    }
    retryRequest(context, row, `the request never reached the target: ${reason}`, "no");
};

const resumeAttempt = (context: DecisionContext, row: RequestRow, targetId: TargetRow["targetId"], event: BrokenEvent): void => {
    row.resumes += 1;
    row.attemptId = createId<AttemptId>(context, "attempt");
    row.lastDecision = recordDecision(context, "resume", row.request.requestId, `the answer was interrupted: ${event.reason}`, {
        target: targetId,
        inputs: { delivered: event.delivered, resumes: row.resumes },
    });
    context.commands.push({ kind: "resume", requestId: row.request.requestId, attemptId: row.attemptId, targetId });
};

const retryOrRefuse = (context: DecisionContext, row: RequestRow, target: TargetRow | undefined, event: BrokenEvent): void => {
    if (isRequestQuarantined(context, row.request.fingerprint)) {
        const crashes = context.crashRecords.get(row.request.fingerprint)?.crashes ?? 0;
        refuseRequest(context, row, createRefusal.quarantined(crashes));
        return;
    }
    if (target !== undefined && !event.connectionRefused) {
        // A target that died isn't excluded: it is silent until it reports, and may be tried again then.
        row.excludedTargets.add(target.targetId);
    }
    // The answer of another run continues the part that the caller has, as long as it begins with that part.
    const repeatable = !row.request.nonIdempotent && event.prefixMismatch !== true;
    if (repeatable) {
        retryRequest(context, row, `the answer was lost: ${event.reason}`, "unknown");
        return;
    }
    refuseRequest(context, row, createRefusal.broken(event.reason, "unknown"));
};

const handleBrokenAttempt = (context: DecisionContext, row: RequestRow, target: TargetRow | undefined, event: BrokenEvent): void => {
    row.mayHaveRun = true;
    if (event.connectionRefused && target !== undefined) {
        markSilent(context, target.targetId, `the target died: ${event.reason}`);
        recordCrash(context, row, target.targetId);
    }
    const mayResume = event.resumable && !event.connectionRefused && row.resumes < MAX_RESUMES;
    if (mayResume && target !== undefined && context.nowMs < row.request.deadlineAtMs) {
        resumeAttempt(context, row, target.targetId, event);
        return;
    }
    retryOrRefuse(context, row, target, event);
};

/** Applies an event of an attempt. Late events of an attempt that was replaced are ignored. */
export const applyAttemptEvent = (context: DecisionContext, input: AttemptInput): void => {
    const row = context.requests.get(input.requestId);
    if (row === undefined || row.attemptId !== input.attemptId) {
        return;
    }
    const target = row.targetId === undefined ? undefined : context.targets.get(row.targetId);
    switch (input.event.kind) {
        case "firstByte":
            break;
        case "completed":
            handleCompletion(context, row, target);
            break;
        case "rejected":
            handleRejection(context, row, target, input.event);
            break;
        case "notSent":
            handleNotSent(context, row, target, input.event.reason);
            break;
        default:
            handleBrokenAttempt(context, row, target, input.event);
    }
};
