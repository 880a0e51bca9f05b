import type { AttemptId } from "./attemptId.js";
import type { IdempotencyRecord } from "./idempotencyRecord.js";
import type { DecisionRecord } from "./decisionRecord.js";
import type { DemandCount } from "./demandCount.js";
import type { EngineOrder } from "./engineOrder.js";
import type { Fingerprint } from "./fingerprint.js";
import type { ItemId } from "./itemId.js";
import type { KvWrite } from "./kvWrite.js";
import type { Problem } from "./problem.js";
import type { RequestId } from "./requestId.js";
import type { TargetId } from "./targetId.js";

/** Every command that the decisions can give to the daemon, which carries it out. */
export type DecisionCommand =
    | { kind: "claim"; requestId: RequestId; key: string }
    | { kind: "run"; requestId: RequestId; attemptId: AttemptId; targetId: TargetId; itemId: ItemId | undefined; freshConnection: boolean }
    | { kind: "resume"; requestId: RequestId; attemptId: AttemptId; targetId: TargetId }
    | { kind: "cancelRun"; requestId: RequestId; attemptId: AttemptId; targetId: TargetId }
    | { kind: "refuse"; requestId: RequestId; problem: Problem }
    | { kind: "replay"; requestId: RequestId; record: IdempotencyRecord }
    | { kind: "write"; write: KvWrite }
    | { kind: "readLedgers" }
    | { kind: "order"; targetId: TargetId; order: EngineOrder }
    | { kind: "poll"; targetId: TargetId }
    | { kind: "record"; record: DecisionRecord }
    | { kind: "shareLeaving"; targetId: TargetId }
    | { kind: "shareSuspect"; fingerprint: Fingerprint; crashes: number }
    | { kind: "shareDemand"; counts: DemandCount[] };
