import { findAnchor } from "../placement/findAnchor.js";
import { writeAnchor } from "../placement/writeAnchor.js";
import type { DecisionContext } from "../decisionContext.js";

/** Moves the anchors of relocated replicas once the new replica is confirmed, and forgets those that failed. */
export const finishRelocations = (world: DecisionContext): void => {
    for (const [itemId, { from, to }] of [...world.relocations]) {
        const anchor = findAnchor(world, itemId);
        const ledger = world.ledgers.get(to);
        const state = ledger?.stage === "owned" ? ledger.entries.get(itemId)?.state : undefined;
        const over = anchor.document?.targetId !== from || (state !== "loading" && state !== "resident");
        if (over) {
            world.relocations.delete(itemId);
        }
        else if (state === "resident" && anchor.pending === undefined && world.nowMs >= anchor.nextWriteMs) {
            writeAnchor(world, anchor, to);
        }
    }
};
