import { getOrCreateAnchor } from "../placement/getOrCreateAnchor.js";
import { writeAnchor } from "../placement/writeAnchor.js";
import type { DecisionContext } from "../decisionContext.js";

/** Writes the anchor of each relocation once its new replica is confirmed, and drops relocations that ended or failed. */
export const finishRelocations = (context: DecisionContext): void => {
    for (const [itemId, { from, to }] of [...context.relocations]) {
        const anchor = getOrCreateAnchor(context, itemId);
        const ledger = context.ledgers.get(to);
        const state = ledger?.stage === "owned" ? ledger.entries.get(itemId)?.state : undefined;
        const isFinished = anchor.document?.targetId !== from || (state !== "loading" && state !== "resident");
        if (isFinished) {
            context.relocations.delete(itemId);
        }
        else if (state === "resident" && anchor.pending === undefined && context.nowMs >= anchor.nextWriteMs) {
            writeAnchor(context, anchor, to);
        }
    }
};
