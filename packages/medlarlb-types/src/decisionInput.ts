import type { AnchorDocument } from "./anchorDocument.js";
import type { AttemptEvent } from "./attemptEvent.js";
import type { AttemptId } from "./attemptId.js";
import type { BootId } from "./bootId.js";
import type { IdempotencyRecord } from "./idempotencyRecord.js";
import type { ConfigSnapshot } from "./configSnapshot.js";
import type { DemandCount } from "./demandCount.js";
import type { Fingerprint } from "./fingerprint.js";
import type { InstanceId } from "./instanceId.js";
import type { ItemId } from "./itemId.js";
import type { KvWriteOutcome } from "./kvWriteOutcome.js";
import type { LedgerDocument } from "./ledgerDocument.js";
import type { ListedInstance } from "./listedInstance.js";
import type { OperationId } from "./operationId.js";
import type { OrderId } from "./orderId.js";
import type { OrderOutcome } from "./orderOutcome.js";
import type { RequestId } from "./requestId.js";
import type { RequestSummary } from "./requestSummary.js";
import type { TargetId } from "./targetId.js";
import type { TargetReport } from "./targetReport.js";

/** Every input that the decisions react to. Times are in ms of the instance's own clock. */
export type DecisionInput =
    | { kind: "config"; snapshot: ConfigSnapshot }
    | { kind: "listed"; instances: ListedInstance[] }
    | { kind: "members"; alive: { id: InstanceId; bootId: BootId }[] }
    | { kind: "planner"; fence: number | undefined }
    | { kind: "report"; report: TargetReport; requestedAtMs: number }
    /** The instances that poll these targets are alive, so that the last reports are still valid. */
    | { kind: "reportsCurrent"; targetIds: TargetId[] }
    /** This instance stops. It releases its ledgers as soon as no order is open. */
    | { kind: "stopPlanning" }
    | { kind: "targetSilent"; targetId: TargetId; reason: string }
    | { kind: "targetLeaving"; targetId: TargetId; source: string }
    | { kind: "ledgers"; documents: Map<TargetId, { document: LedgerDocument; revision: number }> }
    | { kind: "anchors"; complete: boolean; anchors: { itemId: ItemId; document: AnchorDocument | undefined; revision: number }[] }
    | { kind: "written"; operationId: OperationId; outcome: KvWriteOutcome }
    | { kind: "orderAnswer"; targetId: TargetId; orderId: OrderId; outcome: OrderOutcome; reason: string }
    | { kind: "request"; request: RequestSummary }
    | { kind: "cancelled"; requestId: RequestId }
    | { kind: "attempt"; requestId: RequestId; attemptId: AttemptId; event: AttemptEvent }
    | { kind: "claim"; requestId: RequestId; outcome: "claimed" | "repeat" | "unavailable"; record?: IdempotencyRecord }
    | { kind: "demand"; instance: InstanceId; counts: DemandCount[] }
    | { kind: "suspect"; fingerprint: Fingerprint; crashes: number };
