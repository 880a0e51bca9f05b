import type { AnswerEvidence } from "medlarlb-types/answerEvidence";
import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { EntryOrigin } from "medlarlb-types/entryOrigin";
import type { TargetObservation } from "medlarlb-types/targetObservation";
import type { EngineReport } from "medlarlb-types/engineReport";
import type { BootId } from "medlarlb-types/bootId";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListeningState } from "medlarlb-types/listeningState";
import type { PermitAnswer } from "medlarlb-types/permitAnswer";
import type { PlacementOrderOutcome } from "medlarlb-types/placementOrderOutcome";
import type { QuotaGrant } from "medlarlb-types/quotaGrant";
import type { QuotaWant } from "medlarlb-types/quotaWant";
import type { RequestId } from "medlarlb-types/requestId";
import type { RunState } from "medlarlb-types/runState";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { StreamOrigin } from "medlarlb-types/streamOrigin";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { TargetId } from "medlarlb-types/targetId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { FailureCause } from "./failureCause.js";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { LoadDigest } from "medlarlb-types/loadDigest";
import type { PlacementUpdate } from "medlarlb-types/placementUpdate";

interface InstancesInput {
    kind: "instances";
    /** Number of serving instances, including this one. */
    count: number;
    planners: Map<ZoneId, InstanceId>;
    /** All instances that the store lists. */
    listed: readonly InstanceId[];
    /** The others that respond to this one. */
    members: { id: InstanceId; zone: ZoneId; bootId?: BootId | undefined }[];
    /** The instances of this zone, this one included, in the order in which they collect the zone's load. */
    zoneOrder: InstanceId[];
}

/** Inputs of the gateway's decisions. Times are in ms of the instance's steady clock. */
export type GatewayInput =
    /** `origin` tells for the log how a document or an entry was read; a configuration without it came from another instance. */
    | { kind: "config"; config: RoutingConfig; origin?: EntryOrigin | undefined }
    | { kind: "target"; entry: TargetEntry; origin?: EntryOrigin }
    | { kind: "targetGone"; targetId: TargetId; origin?: EntryOrigin }
    /** A target has said in an answer that it leaves. */
    | { kind: "targetLeaving"; targetId: TargetId; source: string }
    | { kind: "call"; metadata: CallMetadata }
    | { kind: "callerLeft"; callId: RequestId }
    /** A target has reported its load in a response. `workTimeRatio` is its duration of work now as a multiple of the usual one. */
    | { kind: "load"; targetId: TargetId; running: number; waiting: number; slots: number; workTimeRatio?: number | undefined }
    /** A target has refused a request and wants no more from this instance for a time. */
    | { kind: "pause"; targetId: TargetId; pauseMs: number }
    /** A target has named a limit in a response, or none any more. */
    | { kind: "limit"; targetId: TargetId; perSecond: number | undefined }
    /** Another instance asks this planner for a permit to send a request to a limited target. */
    | { kind: "permitWanted"; targetId: TargetId; from: InstanceId }
    /** A planner has answered whether this instance may send one request to a limited target. */
    | { kind: "permit"; answer: PermitAnswer }
    /** The first event or byte of an answer has arrived. */
    | { kind: "begun"; callId: RequestId; attempt: number }
    /** Further bytes of an answer have arrived from a target, the latest at `atMs`. It needs no step of its own. */
    | { kind: "contact"; targetId: TargetId; atMs: number }
    /**
     * An answer is complete. `longestGapMs` is the longest pause between its parts, in ms. With `endedWithConnection`, only the end
     * of its connection shows that it is complete, which may also be the end of the target.
     */
    | { kind: "finished"; callId: RequestId; attempt: number; status: number; longestGapMs: number; endedWithConnection?: boolean }
    /** A target has sent an answer to another request before that to the call. */
    | { kind: "foreignAnswer"; callId: RequestId; targetId: TargetId; evidence: AnswerEvidence }
    /** An attempt has failed. `evidence` is missing if no answer had begun. */
    | { kind: "failed"; callId: RequestId; attempt: number; ran: "no" | "unknown"; cause: FailureCause; reason: string; evidence?: AnswerEvidence | undefined }
    /** A command of a call threw an error. */
    | { kind: "commandFailed"; callId: RequestId }
    /** A new connection to a target has shown whether it still runs. */
    | { kind: "probed"; targetId: TargetId; startedAtMs: number; state: ListeningState }
    /** It was checked, from `requestedAtMs` on, whether an engine still runs the request of an attempt whose connection has ended. */
    | { kind: "runChecked"; callId: RequestId; attempt: number; state: RunState; requestedAtMs: number }
    /** Observations of other instances. `reporterZone` is undefined if they came by gossip, which spreads by itself. */
    | { kind: "observations"; observations: TargetObservation[]; reporterZone: ZoneId | undefined; ageMs: number }
    /** Another instance tells who began streams, or asks it of one. */
    | { kind: "streamOrigins"; origins: StreamOrigin[] }
    | { kind: "originWanted"; from: InstanceId; requestId: string }
    /** This instance stops. Calls that still wait are refused now, so that callers can use another instance. */
    | { kind: "stop" }
    | InstancesInput
    /**
     * The store's list was as this instance sees it at a time. It needs no step of its own. With `isProved`, a round trip of this
     * instance's own began at that time; else it follows from the age of a message, whose time on the way isn't known.
     */
    | { kind: "listContact"; atMs: number; isProved?: boolean }
    /**
     * The entry of this instance is certainly in the store's list until a time, as of its latest registration or renewal.
     * `wasListed` tells whether it was so before, by this process or an earlier one at its address.
     */
    | { kind: "registered"; validUntilMs: number; wasListed: boolean }
    /** Another instance asks this hub for tokens of quotas, or a hub has answered. */
    | { kind: "quotaWanted"; from: InstanceId; sequence: number; wants: QuotaWant[] }
    | { kind: "quotaGranted"; from: InstanceId; sequence: number; grants: QuotaGrant[] }
    | { kind: "status"; status: InstanceStatus }
    /** Load digest from the planner of this zone, in a large group. */
    | { kind: "digest"; digest: LoadDigest }
    /** Placement update from a planner. */
    | { kind: "news"; news: PlacementUpdate }
    /** Another instance has calls that wait for a model, or for an adapter on the engine `targetId`. */
    | { kind: "wanted"; service: string; model: string; adapter: string | undefined; targetId: TargetId | undefined }
    /** This instance holds the planner lease of its zone, with this fencing number, or no longer holds it. */
    | { kind: "duty"; fence: number | undefined }
    | { kind: "report"; report: EngineReport; requestedAtMs: number }
    /** An engine's report couldn't be read. */
    | { kind: "reportFailed"; targetId: TargetId; reason: string }
    /** Answer of an engine to an order. */
    | { kind: "ordered"; targetId: TargetId; answer: PlacementOrderOutcome; reason: string };
