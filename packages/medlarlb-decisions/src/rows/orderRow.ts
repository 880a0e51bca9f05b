import type { DecisionId } from "medlarlb-types/decisionId";
import type { EngineOrder } from "medlarlb-types/engineOrder";
import type { TargetId } from "medlarlb-types/targetId";

/** Order without a final answer. It is sent again with the same id until the target gives one. */
export interface OrderRow {
    order: EngineOrder;
    targetId: TargetId;
    /** Ledger version that the KV service must hold before the order may be sent. */
    ledgerVersion: number;
    sent: boolean;
    nextSendMs: number;
    createdAtMs: number;
    cause: DecisionId | undefined;
}
