import { brandAs } from "medlarlb-types/brandAs";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { TargetId } from "medlarlb-types/targetId";
import type { createKvClient } from "medlarlb-platform/createKvClient";

type LedgersInput = Extract<DecisionInput, { kind: "ledgers" }>;

/**
 * Reads the ledgers of a zone. A ledger whose value can't be parsed is assigned to an owner named "unknown". Its bytes are then not
 * promised again until the platform's list shows that owner as gone.
 */
export const readLedgers = async (kv: ReturnType<typeof createKvClient>, zone: string): Promise<LedgersInput | undefined> => {
    const prefix = kvKeys.ledgerPrefix(zone);
    const range = await kv.list(prefix);
    if (range.isErr) {
        return undefined;
    }
    const documents: LedgersInput["documents"] = new Map();
    for (const { key, value, revision } of range.value.pairs) {
        const targetId = brandAs<TargetId>(key.slice(prefix.length));
        documents.set(targetId, { document: parseLedger(targetId, value), revision });
    }
    return { kind: "ledgers", documents };
};

const parseLedger = (targetId: TargetId, value: string): LedgerDocument => {
    try {
        return JSON.parse(value) as LedgerDocument;
    }
    catch {
        const unknown = brandAs<never>("unknown");
        return { targetId, owner: unknown, ownerBoot: unknown, fence: 0, operationId: unknown, entries: [] };
    }
};
