import type { DecisionInput } from "medlarlb-types/decisionInput";
import { getOrCreateAnchor } from "../placement/getOrCreateAnchor.js";
import type { DecisionContext } from "../decisionContext.js";

/** Applies anchors that were read or watched. A pending write ends when a later revision by another write is seen. */
export const applyAnchors = (context: DecisionContext, input: Extract<DecisionInput, { kind: "anchors" }>): void => {
    context.anchorsRead ||= input.complete;
    for (const { itemId, document, revision } of input.anchors) {
        const anchor = getOrCreateAnchor(context, itemId);
        if (revision <= anchor.revision) {
            continue;
        }
        anchor.revision = revision;
        anchor.document = document;
        if (anchor.pending !== undefined && document?.operationId !== anchor.pending.operationId) {
            anchor.pending = undefined;
        }
    }
};
