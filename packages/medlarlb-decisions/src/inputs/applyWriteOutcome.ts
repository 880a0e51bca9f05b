import type { AnchorDocument } from "medlarlb-types/anchorDocument";
import type { KvWriteOutcome } from "medlarlb-types/kvWriteOutcome";
import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { OperationId } from "medlarlb-types/operationId";
import { dropLedger } from "../placement/dropLedger.js";
import { dropLostLedger } from "../placement/dropLostLedger.js";
import { startFencing } from "../placement/startFencing.js";
import { recordDecision } from "../recordDecision.js";
import type { AnchorRow } from "../rows/anchorRow.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";

const WRITE_RETRY_MS = 500;

const isOwnDocument = (context: DecisionContext, ledger: LedgerRow, document: LedgerDocument | undefined): boolean =>
    document !== undefined
    && document.owner === context.cfg.instanceId
    && document.ownerBoot === context.cfg.bootId
    && document.fence === ledger.fence;

const finishLedgerWrite = (context: DecisionContext, ledger: LedgerRow, outcome: KvWriteOutcome): void => {
    const version = ledger.pendingWrite?.version ?? 0;
    ledger.pendingWrite = undefined;
    if (outcome.kind === "committed") {
        ledger.revision = outcome.revision;
        ledger.savedVersion = version;
        if (ledger.stage === "taking") {
            startFencing(context, ledger);
        }
        if (ledger.stage === "releasing") {
            dropLedger(context, ledger);
        }
        return;
    }
    ledger.nextWriteMs = context.nowMs + WRITE_RETRY_MS;
    if (outcome.kind === "unavailable") {
        return;
    }
    const current = outcome.current[0];
    const document = current?.value === undefined ? undefined : JSON.parse(current.value) as LedgerDocument;
    if (isOwnDocument(context, ledger, document)) {
        // An earlier write of this owner was committed although its answer was lost.
        ledger.revision = current?.revision ?? 0;
        ledger.nextWriteMs = context.nowMs;
        return;
    }
    dropLostLedger(context, ledger, `another planner has written the ledger, fence ${document?.fence ?? "none"}`);
};

const finishAnchorWrite = (context: DecisionContext, anchor: AnchorRow, outcome: KvWriteOutcome): void => {
    anchor.nextWriteMs = context.nowMs + WRITE_RETRY_MS;
    const pending = anchor.pending;
    if (outcome.kind === "unavailable" || pending === undefined) {
        return;
    }
    anchor.pending = undefined;
    if (outcome.kind === "committed") {
        anchor.revision = outcome.revision;
        anchor.document = { itemId: anchor.itemId, targetId: pending.targetId, zone: context.cfg.zone, operationId: pending.operationId };
        recordDecision(context, "anchor", anchor.itemId, "a confirmed replica became the anchor", { target: pending.targetId });
        return;
    }
    const current = outcome.current[0];
    if (current !== undefined && current.revision > anchor.revision) {
        anchor.revision = current.revision;
        anchor.document = current.value === undefined ? undefined : JSON.parse(current.value) as AnchorDocument;
    }
};

/** Applies the outcome of a write to the KV service to the ledger or anchor that was written. */
export const applyWriteOutcome = (context: DecisionContext, operationId: OperationId, outcome: KvWriteOutcome): void => {
    context.kvDownSinceMs = outcome.kind === "unavailable" ? context.kvDownSinceMs ?? context.nowMs : undefined;
    for (const ledger of context.ledgers.values()) {
        if (ledger.pendingWrite?.operationId === operationId) {
            finishLedgerWrite(context, ledger, outcome);
            return;
        }
    }
    for (const anchor of context.anchors.values()) {
        if (anchor.pending?.operationId === operationId) {
            finishAnchorWrite(context, anchor, outcome);
            return;
        }
    }
};
