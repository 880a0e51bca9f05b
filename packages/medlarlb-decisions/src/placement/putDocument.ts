import type { OperationId } from "medlarlb-types/operationId";
import type { DecisionContext } from "../decisionContext.js";

/** Writes one document to the KV service, provided that its key is still at the given revision. */
export const putDocument = (context: DecisionContext, key: string, revision: number, document: { operationId: OperationId }): void => {
    context.commands.push({
        kind: "write",
        write: {
            operationId: document.operationId,
            compares: [{ key, revision }],
            puts: [{ key, value: JSON.stringify(document) }],
            deletes: [],
        },
    });
};
