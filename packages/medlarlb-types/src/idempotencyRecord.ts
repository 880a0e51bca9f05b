import type { InstanceId } from "./instanceId.js";
import type { OperationId } from "./operationId.js";
import type { RequestId } from "./requestId.js";

/** State of an idempotency key in the KV service. Small answers are stored, so that a repeated request gets the same one. */
export interface IdempotencyRecord {
    operationId: OperationId;
    requestId: RequestId;
    owner: InstanceId;
    fingerprint: string;
    state: "claimed" | "completed" | "notRun" | "unknown";
    answer?: { status: number; contentType: string; body: string };
}
