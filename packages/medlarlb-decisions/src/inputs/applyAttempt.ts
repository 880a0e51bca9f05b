import type { AttemptEvent } from "medlarlb-types/attemptEvent";
import type { AttemptId } from "medlarlb-types/attemptId";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import { createId } from "../createId.js";
import { recordDecision } from "../recordDecision.js";
import { createRefusal } from "../requests/createRefusal.js";
import { isQuarantined } from "../requests/isQuarantined.js";
import { refuseRequest } from "../requests/refuseRequest.js";
import { removeRequest } from "../requests/removeRequest.js";
import { rerunRequest } from "../requests/rerunRequest.js";
import { suspectRequest } from "../requests/suspectRequest.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { TargetRow } from "../rows/targetRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { markLeaving } from "./markLeaving.js";
import { markSilent } from "./markSilent.js";
import { setResident } from "./setResident.js";

type Attempt = Extract<DecisionInput, { kind: "attempt" }>;
type Broken = Extract<AttemptEvent, { kind: "broken" }>;
type Rejected = Extract<AttemptEvent, { kind: "rejected" }>;

const MAX_RESUMES = 3;
const SILENT_AFTER_CONNECT_FAILURES = 2;
const SERVICE_TIME_SHARE = 0.1; // weight of the newest request in the average

const complete = (world: DecisionContext, row: RequestRow, target: TargetRow | undefined): void => {
    if (target !== undefined) {
        target.serviceMs += SERVICE_TIME_SHARE * (world.nowMs - row.sentAtMs - target.serviceMs);
        target.connectFailures = 0;
    }
    if (row.isolated) {
        world.suspects.delete(row.request.fingerprint);
    }
    removeRequest(world, row);
};

const reject = (world: DecisionContext, row: RequestRow, target: TargetRow | undefined, event: Rejected): void => {
    if (target !== undefined) {
        row.excluded.add(target.targetId);
        if (event.leaving) {
            markLeaving(world, target.targetId, "its refusal");
        }
        if (event.notResident && row.itemId !== undefined) {
            setResident(world, target, new Set([...target.resident].filter(itemId => itemId !== row.itemId)));
        }
    }
    rerunRequest(world, row, `the target did not run the request: ${event.reason}`, "no");
};

const notSent = (world: DecisionContext, row: RequestRow, target: TargetRow | undefined, reason: string): void => {
    if (target !== undefined) {
        row.excluded.add(target.targetId);
        target.connectFailures += 1;
        if (target.connectFailures >= SILENT_AFTER_CONNECT_FAILURES) {
            markSilent(world, target.targetId, `connections fail: ${reason}`);
        }
    }
    rerunRequest(world, row, `the request never reached the target: ${reason}`, "no");
};

const resume = (world: DecisionContext, row: RequestRow, targetId: TargetRow["targetId"], event: Broken): void => {
    row.resumes += 1;
    row.attemptId = createId<AttemptId>(world, "attempt");
    row.lastDecision = recordDecision(world, "resume", row.request.requestId, `the answer broke off: ${event.reason}`, {
        target: targetId,
        inputs: { delivered: event.delivered, resumes: row.resumes },
    });
    world.commands.push({ kind: "resume", requestId: row.request.requestId, attemptId: row.attemptId, targetId });
};

const giveUp = (world: DecisionContext, row: RequestRow, target: TargetRow | undefined, event: Broken): void => {
    if (isQuarantined(world, row.request.fingerprint)) {
        const crashes = world.suspects.get(row.request.fingerprint)?.crashes ?? 0;
        refuseRequest(world, row, createRefusal.quarantined(crashes));
        return;
    }
    if (target !== undefined && !event.connectionRefused) {
        // A target that died is silent until it is back, and may be tried again then.
        row.excluded.add(target.targetId);
    }
    // Another run goes on behind what the caller has, as long as it begins with the same.
    const repeatable = !row.request.nonIdempotent && event.prefixMismatch !== true;
    if (repeatable) {
        rerunRequest(world, row, `the answer was lost: ${event.reason}`, "unknown");
        return;
    }
    refuseRequest(world, row, createRefusal.broken(event.reason, "unknown"));
};

const breakOff = (world: DecisionContext, row: RequestRow, target: TargetRow | undefined, event: Broken): void => {
    row.mayHaveRun = true;
    if (event.connectionRefused && target !== undefined) {
        markSilent(world, target.targetId, `the target died: ${event.reason}`);
        suspectRequest(world, row, target.targetId);
    }
    const mayResume = event.resumable && !event.connectionRefused && row.resumes < MAX_RESUMES;
    if (mayResume && target !== undefined && world.nowMs < row.request.deadlineAtMs) {
        resume(world, row, target.targetId, event);
        return;
    }
    giveUp(world, row, target, event);
};

/** Takes over what the edge saw of an attempt. Events of an attempt that was replaced are late and change nothing. */
export const applyAttempt = (world: DecisionContext, input: Attempt): void => {
    const row = world.requests.get(input.requestId);
    if (row === undefined || row.attemptId !== input.attemptId) {
        return;
    }
    const target = row.targetId === undefined ? undefined : world.targets.get(row.targetId);
    switch (input.event.kind) {
        case "firstByte":
            break;
        case "completed":
            complete(world, row, target);
            break;
        case "rejected":
            reject(world, row, target, input.event);
            break;
        case "notSent":
            notSent(world, row, target, input.event.reason);
            break;
        default:
            breakOff(world, row, target, input.event);
    }
};
