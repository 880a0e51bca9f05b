import type { InstanceId } from "medlarlb-types/instanceId";
import type { PlacementOrder } from "medlarlb-types/placementOrder";
import type { RequestId } from "medlarlb-types/requestId";
import type { TargetId } from "medlarlb-types/targetId";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { LoadDigest } from "medlarlb-types/loadDigest";
import type { PlacementUpdate } from "medlarlb-types/placementUpdate";

/** Sends a request to a target. */
interface SendCommand {
    kind: "send";
    callId: RequestId;
    targetId: TargetId;
    address: string;
    attempt: number;
    deadlineMs: number;
    predictedMs: number;
    priority: number | undefined;
    /** Address of the engine that is to get a copy of the run's memory as it grows. */
    copyToAddress: string | undefined;
    /** Whether the run goes on from the copy that the target has of it. */
    fromCopy: boolean;
}

/** Everything that the decisions of the gateway can ask of the edge. */
export type GatewayCommand =
    | SendCommand
    /** Ends the present attempt of a call. */
    | { kind: "abort"; callId: RequestId; attempt: number }
    /** Final answer of this instance's own. */
    | { kind: "answer"; callId: RequestId; status: number; retryAfterMs: number | undefined; reason: string }
    | { kind: "want"; to: InstanceId; service: string; model: string; adapter: string | undefined; targetId: TargetId | undefined }
    | { kind: "order"; targetId: TargetId; address: string; order: PlacementOrder }
    | { kind: "report"; targetId: TargetId; address: string }
    | { kind: "shareStatus"; to: InstanceId[]; status: InstanceStatus }
    | { kind: "shareDigest"; to: InstanceId; digest: LoadDigest }
    | { kind: "shareNews"; to: InstanceId[]; news: PlacementUpdate }
    | { kind: "shareLeaving"; targetId: TargetId }
    | { kind: "log"; event: string; fields: Record<string, unknown> };
