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

/** The tables that the systems run over, and the commands that they give in this tick. */
export interface DecisionContext {
    cfg: DecisionSettings;
    random: RandomSource;
    nowMs: number;
    commands: DecisionCommand[];
    sequence: number;
    config: ConfigSnapshot;
    items: Map<ItemId, ItemRow>;
    /** Items that a name of a request stands for, the preferred first. */
    itemsByName: Map<string, ItemId[]>;
    /** Zones in the order of their rank for an item, since the configuration was last applied. */
    zoneRanks: Map<ItemId, string[]>;
    targets: Map<TargetId, TargetRow>;
    /** Targets that hold an item ready for requests. */
    replicas: Map<ItemId, Set<TargetId>>;
    requests: Map<RequestId, RequestRow>;
    /** Waiting requests by name, the most urgent first. */
    queues: Map<string, RequestId[]>;
    crashRecords: Map<Fingerprint, CrashRecordRow>;
    retryBudgets: Map<string, RetryBudgetRow>;
    /** The one isolated request that this instance runs now. */
    isolatedRequestId: RequestId | undefined;
    /** Which target last served a prompt prefix. */
    prefixTargets: Map<string, TargetId>;
    plannerFence: number | undefined;
    /** Whether this instance stops and gives its ledgers up. */
    stopping: boolean;
    ledgers: Map<TargetId, LedgerRow>;
    orders: Map<OrderId, OrderRow>;
    anchors: Map<ItemId, AnchorRow>;
    /** Anchored replicas that are being moved to another target of the zone, so that a floor finds room. */
    relocations: Map<ItemId, { from: TargetId; to: TargetId }>;
    demand: Map<ItemId, DemandRow>;
    /** Arrivals and unmet arrivals since the last share, by item. */
    arrivals: Map<ItemId, number>;
    unmet: Map<ItemId, number>;
    listedInstances: Map<string, ListedInstance>;
    instancesListedAtMs: number;
    alive: Map<InstanceId, BootId>;
    /** Whether all anchors have been read once. No floor is judged before. */
    anchorsRead: boolean;
    nextLedgerReadMs: number;
    /** Since when the KV service has not answered a write, or undefined. */
    kvDownSinceMs: number | undefined;
    loadTokens: number;
    loadTokensUpdatedAtMs: number;
    averageLoadMs: number;
    nextPlanMs: number;
    nextExpireMs: number;
    nextDemandShareMs: number;
}
