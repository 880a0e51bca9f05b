import type { TargetObservation } from "medlarlb-types/targetObservation";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { PermitAnswer } from "medlarlb-types/permitAnswer";
import type { PlacementOrder } from "medlarlb-types/placementOrder";
import type { QuotaGrant } from "medlarlb-types/quotaGrant";
import type { QuotaWant } from "medlarlb-types/quotaWant";
import type { RequestId } from "medlarlb-types/requestId";
import type { StreamOrigin } from "medlarlb-types/streamOrigin";
import type { TargetId } from "medlarlb-types/targetId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { LoadDigest } from "medlarlb-types/loadDigest";
import type { PlacementUpdate } from "medlarlb-types/placementUpdate";

/** Command that sends a request to a target. */
interface SendCommand {
    kind: "send";
    callId: RequestId;
    targetId: TargetId;
    address: string;
    attempt: number;
    deadlineMs: number;
    predictedMs: number;
    priority: number | undefined;
    /** Name of the workspace that the request belongs to. */
    workspace: string | undefined;
    /** Address of the engine that receives a copy of the run's state as it grows. */
    copyToAddress: string | undefined;
    /** Whether the run resumes from the copy of its state that the target holds. */
    fromCopy: boolean;
}

/** Commands that the gateway's decisions return, for the I/O code of the instance to carry out. */
export type GatewayCommand =
    | SendCommand
    /** Ends the current attempt of a call. */
    | { kind: "abort"; callId: RequestId; attempt: number }
    /** Sends a final answer of this instance's own to the caller. */
    | { kind: "answer"; callId: RequestId; status: number; retryAfterMs: number | undefined; reason: string }
    /** Asks a planner to make a model or adapter available. */
    | { kind: "want"; to: InstanceId; service: string; model: string; adapter: string | undefined; targetId: TargetId | undefined }
    /** Asks the planner of a limited target's zone for a permit to send it a request, or answers an instance that asks. */
    | { kind: "requestPermit"; to: InstanceId; targetId: TargetId }
    | { kind: "answerPermit"; to: InstanceId; answer: PermitAnswer }
    /** Asks a hub for tokens of quotas, or answers an instance that asks. */
    | { kind: "askQuota"; to: InstanceId; sequence: number; wants: QuotaWant[] }
    | { kind: "grantQuota"; to: InstanceId; sequence: number; grants: QuotaGrant[] }
    /** Tells an instance who began streams, or asks instances who began one. */
    | { kind: "shareOrigins"; to: InstanceId; origins: StreamOrigin[] }
    | { kind: "askOrigin"; to: InstanceId[]; requestId: string }
    /** Has the store's list of targets confirmed by a round trip that begins now. */
    | { kind: "confirmList" }
    | { kind: "order"; targetId: TargetId; address: string; order: PlacementOrder }
    /** Requests an engine's report. */
    | { kind: "report"; targetId: TargetId; address: string }
    /** Finds out with a new connection whether a target that cut a request still runs. */
    | { kind: "probe"; targetId: TargetId; startedAtMs: number; address: string }
    /** Finds out, after a delay, whether an engine still runs the request of an attempt whose connection has ended. */
    | { kind: "checkRun"; callId: RequestId; attempt: number; targetId: TargetId; address: string; callerRequestId: string; delayMs: number }
    /** The `share` commands send this instance's status, a load digest, a placement update, or observations of targets to others. */
    | { kind: "shareStatus"; to: InstanceId[]; status: InstanceStatus }
    | { kind: "shareDigest"; to: InstanceId; digest: LoadDigest }
    | { kind: "shareNews"; to: InstanceId[]; news: PlacementUpdate }
    /** With `byGossip`, they also reach instances that start later. */
    | { kind: "shareObservations"; to: InstanceId[]; reporterZone: ZoneId; observations: TargetObservation[]; byGossip: boolean }
    | { kind: "log"; event: string; fields: Record<string, unknown> };
