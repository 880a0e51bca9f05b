import type { DecisionId } from "medlarlb-types/decisionId";
import type { EngineOrder } from "medlarlb-types/engineOrder";
import type { TargetId } from "medlarlb-types/targetId";

/** An order without a final answer. It is sent again with the same id until it has one. */
export interface OrderRow {
    order: EngineOrder;
    targetId: TargetId;
    /** Ledger version that must be saved before the order may be sent. */
    ledgerVersion: number;
    sent: boolean;
    nextSendMs: number;
    createdAtMs: number;
    cause: DecisionId | undefined;
}
