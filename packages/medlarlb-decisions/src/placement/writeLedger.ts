import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { OperationId } from "medlarlb-types/operationId";
import { createId } from "../createId.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { ledgerKey } from "./ledgerKey.js";
import { putDocument } from "./putDocument.js";

/** Writes a ledger to the KV service, provided that no other instance has written it since it was read. */
export const writeLedger = (context: DecisionContext, ledger: LedgerRow, released = false): void => {
    const operationId = createId<OperationId>(context, "write");
    const document: LedgerDocument = {
        targetId: ledger.targetId,
        owner: context.cfg.instanceId,
        ownerBoot: context.cfg.bootId,
        fence: ledger.fence,
        operationId,
        entries: [...ledger.entries.values()],
        ...(released ? { released } : {}),
    };
    const key = ledgerKey(context, ledger.targetId);
    ledger.pendingWrite = { operationId, version: ledger.version };
    putDocument(context, key, ledger.revision, document);
};
