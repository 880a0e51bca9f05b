import type { Fingerprint } from "./fingerprint.js";
import type { RequestId } from "./requestId.js";

/** What the decisions know of a caller's request. They don't get its body. */
export interface RequestSummary {
    requestId: RequestId;
    /** Name of a model, model version or adapter, or of a service. */
    name: string;
    kind: "inference" | "service";
    arrivedAtMs: number;
    deadlineAtMs: number;
    /** Rank of the request; 0 is served first. */
    priority: number;
    nonIdempotent: boolean;
    streaming: boolean;
    idempotencyKey?: string;
    fingerprint: Fingerprint;
    /** Digest of the first part of the prompt, for prefix affinity. */
    prefix?: string;
}
