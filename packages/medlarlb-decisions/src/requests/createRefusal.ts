import { createProblem } from "medlarlb-types/createProblem";
import type { Problem } from "medlarlb-types/problem";
import type { ExecutionStatus } from "medlarlb-types/executionStatus";

const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Functions that create the problem of each kind of refusal, with its remedy. */
export const createRefusal = {
    unknownName: (name: string): Problem =>
        createProblem("unknown-model", 404, `nothing named ${name} is configured`, "name a model, adapter or service that /v1/models lists, or declare it with `medlarlb apply`", { ran: "no" }),
    quarantined: (crashes: number): Problem =>
        createProblem("request-quarantined", 422, `${crashes} targets died while they ran this request`, "change the request; an equal one stays refused for ten minutes", { ran: "no" }),
    queueFull: (name: string, retryAfterMs: number): Problem =>
        createProblem("queue-full", 429, `too many requests for ${name} are waiting`, "try again after the time in Retry-After", { ran: "no", retryAfterMs }),
    deadlineUnreachable: (waitMs: number, retryAfterMs: number): Problem =>
        createProblem("deadline-unreachable", 503, `the predicted wait of ${Math.ceil(waitMs)} ms passes the deadline`, "try again after the time in Retry-After, or allow a later deadline", { ran: "no", retryAfterMs }),
    deadlinePassed: (): Problem =>
        createProblem("deadline-passed", 504, "the deadline passed before a target could take the request", "try again after the time in Retry-After, or allow a later deadline", { ran: "no", retryAfterMs: DEFAULT_RETRY_AFTER_MS }),
    deadlinePassedWhileRunning: (): Problem =>
        createProblem("deadline-passed", 504, "the deadline passed while a target ran the request", "allow a later deadline", { ran: "unknown" }),
    noTarget: (name: string, ran: ExecutionStatus): Problem =>
        createProblem("no-target", 503, `no target could take the request for ${name}`, "try again after the time in Retry-After", { ran, retryAfterMs: DEFAULT_RETRY_AFTER_MS }),
    broken: (reason: string, ran: ExecutionStatus): Problem =>
        createProblem("answer-lost", 502, `the target's answer was lost: ${reason}`, ran === "unknown" ? "find out whether the request took effect before you send it again" : "send the request again", { ran }),
    claimUnavailable: (): Problem =>
        createProblem("claim-unavailable", 503, "the idempotency key can't be claimed because the KV service doesn't answer", "try again after the time in Retry-After", { ran: "no", retryAfterMs: DEFAULT_RETRY_AFTER_MS }),
    repeat: (ran: ExecutionStatus): Problem =>
        createProblem("repeated-key", 409, "a request with this idempotency key was accepted before", "wait for the answer to the earlier request; this one wasn't run", { ran, retryAfterMs: DEFAULT_RETRY_AFTER_MS }),
    keyReused: (): Problem =>
        createProblem("key-reused", 422, "the idempotency key was used with another request body", "use a new key for a new request", { ran: "no" }),
};
