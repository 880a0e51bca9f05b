import type { BootId } from "medlarlb-types/bootId";
import type { ConfigSnapshot } from "medlarlb-types/configSnapshot";
import type { DecisionCommand } from "medlarlb-types/decisionCommand";
import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ItemId } from "medlarlb-types/itemId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { OrderId } from "medlarlb-types/orderId";
import type { RequestId } from "medlarlb-types/requestId";
import type { TargetId } from "medlarlb-types/targetId";
import type { DecisionSettings } from "./decisionSettings.js";
import type { RandomSource } from "./randomSource.js";
import type { AnchorRow } from "./rows/anchorRow.js";
import type { DemandRow } from "./rows/demandRow.js";
import type { ItemRow } from "./rows/itemRow.js";
import type { LedgerRow } from "./rows/ledgerRow.js";
import type { OrderRow } from "./rows/orderRow.js";
import type { RequestRow } from "./rows/requestRow.js";
import type { RetryBudgetRow } from "./rows/retryBudgetRow.js";
import type { CrashRecordRow } from "./rows/crashRecordRow.js";
import type { TargetRow } from "./rows/targetRow.js";

/** Settings and tables that the decisions read and change, and the commands of the current step. */
export interface DecisionContext {
    cfg: DecisionSettings;
    random: RandomSource;
    nowMs: number;
    commands: DecisionCommand[];
    sequence: number;
    config: ConfigSnapshot;
    items: Map<ItemId, ItemRow>;
    /** Items that serve requests for a name, the preferred version first. */
    itemsByName: Map<string, ItemId[]>;
    /** Zones in the order of their rank for an item. Cleared when a configuration is applied. */
    zoneRanks: Map<ItemId, string[]>;
    targets: Map<TargetId, TargetRow>;
    /** Targets on which an item is resident and may get requests. */
    replicas: Map<ItemId, Set<TargetId>>;
    requests: Map<RequestId, RequestRow>;
    /** Ids of waiting requests by name, the most urgent first. */
    queues: Map<string, RequestId[]>;
    crashRecords: Map<Fingerprint, CrashRecordRow>;
    retryBudgets: Map<string, RetryBudgetRow>;
    /** Isolated request that this instance runs now. At most one runs at a time. */
    isolatedRequestId: RequestId | undefined;
    /** Target that last served a prompt prefix. */
    prefixTargets: Map<string, TargetId>;
    plannerFence: number | undefined;
    /** Whether this instance is stopping and releases its ledgers. */
    stopping: boolean;
    ledgers: Map<TargetId, LedgerRow>;
    orders: Map<OrderId, OrderRow>;
    anchors: Map<ItemId, AnchorRow>;
    /** Anchors that move to another target of the zone, so that the minimum replicas of another item fit. */
    relocations: Map<ItemId, { from: TargetId; to: TargetId }>;
    demand: Map<ItemId, DemandRow>;
    /** Numbers of requests, and of requests that had to wait, by item since demand was last shared. */
    arrivals: Map<ItemId, number>;
    unmet: Map<ItemId, number>;
    listedInstances: Map<string, ListedInstance>;
    instancesListedAtMs: number;
    alive: Map<InstanceId, BootId>;
    /** Whether all anchors have been read once. Minimum replicas aren't planned before. */
    anchorsRead: boolean;
    nextLedgerReadMs: number;
    /** Time since which the KV service has not answered a write, undefined while it answers. */
    kvDownSinceMs: number | undefined;
    loadTokens: number;
    loadTokensUpdatedAtMs: number;
    averageLoadMs: number;
    nextPlanMs: number;
    nextExpireMs: number;
    nextDemandShareMs: number;
}
