import type { DecisionId } from "medlarlb-types/decisionId";
import type { LedgerEntry } from "medlarlb-types/ledgerEntry";
import type { ItemRow } from "../rows/itemRow.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { demandValue } from "./demandValue.js";
import { freeBytes } from "./freeBytes.js";
import { mayUnload } from "./mayUnload.js";
import { orderUnload } from "./orderUnload.js";

interface EvictionPlan {
    ledger: LedgerRow;
    victims: LedgerEntry[];
    lostValue: number;
}

const unloadingBytes = (ledger: LedgerRow): number =>
    [...ledger.entries.values()].reduce((sum, entry) => sum + (entry.state === "unloading" ? entry.bytes : 0), 0);

const planEviction = (context: DecisionContext, ledger: LedgerRow, item: ItemRow, forMinReplicas: boolean): EvictionPlan | undefined => {
    let missingBytes = item.bytes - freeBytes(context, ledger);
    const earliestUnloadMs = (entry: LedgerEntry): number => (ledger.changedAtMs.get(entry.itemId) ?? 0) + context.cfg.minResidenceMs;
    const candidates = [...ledger.entries.values()]
        .filter(entry => mayUnload(context, ledger, entry) && (forMinReplicas || context.nowMs >= earliestUnloadMs(entry)))
        .sort((a, b) => demandValue(context, a.itemId) - demandValue(context, b.itemId));
    const victims: LedgerEntry[] = [];
    let lostValue = 0;
    for (const entry of candidates) {
        if (missingBytes <= 0) {
            break;
        }
        victims.push(entry);
        missingBytes -= entry.bytes;
        lostValue += demandValue(context, entry.itemId);
    }
    return missingBytes <= 0 ? { ledger, victims, lostValue } : undefined;
};

/**
 * Unloads the replicas with the least demand on one target, so that an item fits afterwards. Does nothing while active
 * unloads will free enough bytes. With `forMinReplicas`, neither the minimum residence nor the value of the victims
 * counts. Returns whether enough bytes are being freed.
 */
export const evictReplicas = (
    context: DecisionContext,
    ledgers: LedgerRow[],
    item: ItemRow,
    forMinReplicas: boolean,
    gain: number,
    cause?: DecisionId,
): boolean => {
    if (ledgers.some(ledger => freeBytes(context, ledger) + unloadingBytes(ledger) >= item.bytes)) {
        return true;
    }
    const plans = ledgers.flatMap(ledger => planEviction(context, ledger, item, forMinReplicas) ?? []);
    plans.sort((a, b) => a.lostValue - b.lostValue || a.victims.length - b.victims.length);
    const best = plans[0];
    if (best === undefined) {
        return false;
    }
    const { attainmentWeight, moveWeight, amortizationMs } = context.cfg;
    const benefit = attainmentWeight * (gain - best.lostValue) * amortizationMs / 1_000;
    if (!forMinReplicas && benefit <= moveWeight * (best.victims.length + 1)) {
        return false;
    }
    for (const victim of best.victims) {
        orderUnload(context, best.ledger, victim, `${item.itemId} needs the memory`, cause);
    }
    return true;
};
