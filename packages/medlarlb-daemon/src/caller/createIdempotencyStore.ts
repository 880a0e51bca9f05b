import { createHash, randomUUID } from "node:crypto";
import { brandAs } from "medlarlb-types/brandAs";
import type { IdempotencyRecord } from "medlarlb-types/idempotencyRecord";
import type { InstanceId } from "medlarlb-types/instanceId";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { KvWriteOutcome } from "medlarlb-types/kvWriteOutcome";
import type { OperationId } from "medlarlb-types/operationId";
import type { RequestSummary } from "medlarlb-types/requestSummary";
import type { createKvClient } from "medlarlb-platform/createKvClient";

interface ClaimOutcome {
    outcome: "claimed" | "repeat" | "unavailable";
    record?: IdempotencyRecord;
}

const CLAIM_SECONDS = 86_400; // keys are remembered for a day
const LEASE_RENEW_MS = 3_600_000;
const MAX_KEPT_ANSWER_BYTES = 65_536;
const SETTLE_TRIES = 5;
const SETTLE_RETRY_MS = 500;

const keyOf = (idempotencyKey: string): string => kvKeys.claim(createHash("sha256").update(idempotencyKey).digest("hex"));

/** Creates the part that claims idempotency keys in the KV service and records what became of their requests. */
export const createIdempotencyStore = (kv: ReturnType<typeof createKvClient>, owner: InstanceId) => {
    const held = new Map<string, { record: IdempotencyRecord; revision: number }>();
    let lease: { id: string; grantedAtMs: number } | undefined;

    const currentLease = async (): Promise<string | undefined> => {
        if (lease === undefined || Date.now() - lease.grantedAtMs > LEASE_RENEW_MS) {
            const granted = await kv.grantLease(CLAIM_SECONDS);
            lease = granted.isOk ? { id: granted.value, grantedAtMs: Date.now() } : lease;
        }
        return lease?.id;
    };

    const put = async (key: string, record: IdempotencyRecord, revision: number): Promise<KvWriteOutcome> => {
        const id = await currentLease();
        if (id === undefined) {
            return { kind: "unavailable", reason: "no lease for the claim" };
        }
        return kv.write({
            operationId: record.operationId,
            compares: [{ key, revision }],
            puts: [{ key, value: JSON.stringify(record), lease: id }],
            deletes: [],
        });
    };

    const takeConflict = async (summary: RequestSummary, key: string, outcome: KvWriteOutcome): Promise<ClaimOutcome> => {
        const current = outcome.kind === "conflict" ? outcome.current[0] : undefined;
        if (current?.value === undefined) {
            return { outcome: "unavailable" };
        }
        const record = JSON.parse(current.value) as IdempotencyRecord;
        // The earlier request was refused without a run, so this one may run in its place.
        const free = record.state === "notRun" && record.fingerprint === summary.fingerprint;
        return free ? claimAt(summary, key, current.revision) : { outcome: "repeat", record };
    };

    const claimAt = async (summary: RequestSummary, key: string, revision: number): Promise<ClaimOutcome> => {
        const record: IdempotencyRecord = {
            operationId: brandAs<OperationId>(randomUUID()),
            requestId: summary.requestId,
            owner,
            fingerprint: summary.fingerprint,
            state: "claimed",
        };
        const outcome = await put(key, record, revision);
        if (outcome.kind === "committed") {
            held.set(key, { record, revision: outcome.revision });
            return { outcome: "claimed" };
        }
        return outcome.kind === "conflict" ? takeConflict(summary, key, outcome) : { outcome: "unavailable" };
    };

    const settleAt = async (key: string, record: IdempotencyRecord, revision: number, tries: number): Promise<void> => {
        const outcome = await put(key, record, revision);
        if (outcome.kind === "unavailable" && tries > 1) {
            setTimeout(() => void settleAt(key, record, revision, tries - 1), SETTLE_RETRY_MS).unref();
        }
    };

    return {
        claim: (summary: RequestSummary): Promise<ClaimOutcome> => claimAt(summary, keyOf(summary.idempotencyKey ?? ""), 0),
        /** Records the final state of a claimed request. A larger answer isn't kept; a repeat learns that it ran. */
        settle: async (summary: RequestSummary, state: IdempotencyRecord["state"], answer?: IdempotencyRecord["answer"]): Promise<void> => {
            const key = keyOf(summary.idempotencyKey ?? "");
            const claim = held.get(key);
            // A refused repeat of a key has nothing to say about the request that holds it.
            if (claim?.record.requestId !== summary.requestId) {
                return;
            }
            held.delete(key);
            const kept = answer !== undefined && answer.body.length <= MAX_KEPT_ANSWER_BYTES ? { answer } : {};
            const record = { ...claim.record, operationId: brandAs<OperationId>(randomUUID()), state, ...kept };
            await settleAt(key, record, claim.revision, SETTLE_TRIES);
        },
    };
};
