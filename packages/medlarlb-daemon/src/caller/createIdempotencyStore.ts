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

const CLAIM_TTL_S = 86_400; // time to live of a lease; a key is stored for a day, less the age of the lease that it shares
const MAX_LEASE_REUSE_MS = 3_600_000; // claims share a lease until it is an hour old, or longer if no new one is granted
const MAX_STORED_ANSWER_BYTES = 65_536;
const MAX_OUTCOME_WRITES = 5;
const OUTCOME_RETRY_MS = 500;

const createClaimKey = (idempotencyKey: string): string => kvKeys.claim(createHash("sha256").update(idempotencyKey).digest("hex"));

/** Creates the store that claims idempotency keys in the KV service and records the outcome of their requests. */
export const createIdempotencyStore = (kv: ReturnType<typeof createKvClient>, owner: InstanceId) => {
    const ownClaims = new Map<string, { record: IdempotencyRecord; revision: number }>();
    let lease: { id: string; grantedAtMs: number } | undefined;

    const getLeaseId = async (): Promise<string | undefined> => {
        if (lease === undefined || Date.now() - lease.grantedAtMs > MAX_LEASE_REUSE_MS) {
            const granted = await kv.grantLease(CLAIM_TTL_S);
            lease = granted.isOk ? { id: granted.value, grantedAtMs: Date.now() } : lease;
        }
        return lease?.id;
    };

    const writeRecord = async (key: string, record: IdempotencyRecord, revision: number): Promise<KvWriteOutcome> => {
        const id = await getLeaseId();
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

    const resolveConflict = async (summary: RequestSummary, key: string, outcome: KvWriteOutcome): Promise<ClaimOutcome> => {
        const current = outcome.kind === "conflict" ? outcome.current[0] : undefined;
        if (current?.value === undefined) {
            return { outcome: "unavailable" };
        }
        const record = JSON.parse(current.value) as IdempotencyRecord;
        // An identical request that was refused without being run doesn't prevent this one from running.
        const mayReplace = record.state === "notRun" && record.fingerprint === summary.fingerprint;
        return mayReplace ? claimAt(summary, key, current.revision) : { outcome: "repeat", record };
    };

    const claimAt = async (summary: RequestSummary, key: string, revision: number): Promise<ClaimOutcome> => {
        const record: IdempotencyRecord = {
            operationId: brandAs<OperationId>(randomUUID()),
            requestId: summary.requestId,
            owner,
            fingerprint: summary.fingerprint,
            state: "claimed",
        };
        const outcome = await writeRecord(key, record, revision);
        if (outcome.kind === "committed") {
            ownClaims.set(key, { record, revision: outcome.revision });
            return { outcome: "claimed" };
        }
        return outcome.kind === "conflict" ? resolveConflict(summary, key, outcome) : { outcome: "unavailable" };
    };

    const writeOutcome = async (key: string, record: IdempotencyRecord, revision: number, attemptsLeft: number): Promise<void> => {
        const outcome = await writeRecord(key, record, revision);
        if (outcome.kind === "unavailable" && attemptsLeft > 1) {
            setTimeout(() => void writeOutcome(key, record, revision, attemptsLeft - 1), OUTCOME_RETRY_MS).unref();
        }
    };

    return {
        claim: (summary: RequestSummary): Promise<ClaimOutcome> => claimAt(summary, createClaimKey(summary.idempotencyKey ?? ""), 0),
        /**
         * Records the final state of a claimed request. An answer over `MAX_STORED_ANSWER_BYTES` isn't stored. A repeat then only
         * finds out that the request ran.
         */
        recordOutcome: async (summary: RequestSummary, state: IdempotencyRecord["state"], answer?: IdempotencyRecord["answer"]): Promise<void> => {
            const key = createClaimKey(summary.idempotencyKey ?? "");
            const claim = ownClaims.get(key);
            // A repeat that was refused must not change the record of the request that holds the claim.
            if (claim?.record.requestId !== summary.requestId) {
                return;
            }
            ownClaims.delete(key);
            const storedAnswer = answer !== undefined && answer.body.length <= MAX_STORED_ANSWER_BYTES ? { answer } : {};
            const record = { ...claim.record, operationId: brandAs<OperationId>(randomUUID()), state, ...storedAnswer };
            await writeOutcome(key, record, claim.revision, MAX_OUTCOME_WRITES);
        },
    };
};
