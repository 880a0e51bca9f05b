import type { ItemRow } from "../rows/itemRow.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { isVersionOf } from "./isVersionOf.js";
import { isTargetAvailable } from "./isTargetAvailable.js";

const hasBaseModel = (ledger: LedgerRow, model: string): boolean =>
    [...ledger.entries.values()].some(entry => entry.state === "resident" && isVersionOf(entry.itemId, model));

/** Lists the owned ledgers whose targets may load a further replica of an item, whether or not it fits. */
export const listLoadTargets = (context: DecisionContext, item: ItemRow): LedgerRow[] =>
    [...context.ledgers.values()].filter(ledger => {
        const target = context.targets.get(ledger.targetId);
        const isUsable = ledger.stage === "owned" && isTargetAvailable(target) && !ledger.entries.has(item.itemId);
        return isUsable && (item.baseModel === undefined || hasBaseModel(ledger, item.baseModel));
    });
