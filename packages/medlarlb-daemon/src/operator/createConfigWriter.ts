import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { brandAs } from "medlarlb-types/brandAs";
import type { ConfigSnapshot } from "medlarlb-types/configSnapshot";
import { createProblem } from "medlarlb-types/createProblem";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { KvWrite } from "medlarlb-types/kvWrite";
import type { KvWriteOutcome } from "medlarlb-types/kvWriteOutcome";
import type { OperationId } from "medlarlb-types/operationId";
import type { Problem } from "medlarlb-types/problem";
import { Result } from "true-myth";
import type { createKvClient } from "medlarlb-platform/createKvClient";
import type { createConfigStore } from "../config/createConfigStore.js";
import { parseResource } from "../config/parseResource.js";
import { checkDeletion } from "./checkDeletion.js";
import { checkReferences } from "./checkReferences.js";
import { readDeclared } from "./readDeclared.js";

interface ConfigChangeRequest {
    kind: string;
    name: string;
    /** Undefined deletes the resource. */
    spec: unknown;
    /** Version that the operator has read. If it is undefined, the change applies to any version. */
    resourceVersion: string | undefined;
    operator: string;
}

interface WriterOptions {
    kv: ReturnType<typeof createKvClient>;
    store: ReturnType<typeof createConfigStore>;
    config: () => ConfigSnapshot;
}

const NAME_PATTERN = /^[\w.@-]{1,128}$/;
const MAX_ATTEMPTS = 8;
const RETRY_DELAY_MS = 100;
const MAX_OUTCOME_READS = 3;
const AUDIT_TTL_S = 90 * 86_400; // audit entries are kept for 90 days, or without limit if no lease is granted

const createConflict = (detail: string): Problem =>
    createProblem("conflict", 409, detail, "read the resource again and repeat the change on the new version");

/** Creates the function that validates a change of the configuration and writes it, with its audit entry, in one transaction. */
export const createConfigWriter = ({ kv, store, config }: WriterOptions) => {
    const validate = (change: ConfigChangeRequest): Result<unknown, Problem> => {
        if (!NAME_PATTERN.test(change.name)) {
            return Result.err(createProblem("bad-name", 400, `${change.name} isn't a valid name`, "use letters, digits, and . _ @ - up to 128 characters"));
        }
        if (change.spec === undefined) {
            const references = checkDeletion(config(), change.kind, change.name);
            return references === undefined ? Result.ok(undefined) : Result.err(createProblem("still-used", 409, references, "delete what refers to it first"));
        }
        const parsed = parseResource(change.kind, change.spec);
        if (parsed.isErr) {
            return Result.err(createProblem("invalid-spec", 422, parsed.error, "correct the fields that the detail names"));
        }
        const referenceError = checkReferences(config(), change.kind, parsed.value);
        return referenceError === undefined ? Result.ok(parsed.value) : Result.err(createProblem("impossible-spec", 422, referenceError, "correct the spec as the detail says"));
    };

    const createWrite = (change: ConfigChangeRequest, spec: unknown, lease: string | undefined): KvWrite => {
        const operationId = brandAs<OperationId>(randomUUID());
        const key = kvKeys.resource(change.kind, change.name);
        const currentEntry = store.entries().get(key);
        const audit = {
            id: `${Date.now()}-${operationId}`,
            atMs: Date.now(),
            operator: change.operator,
            action: spec === undefined ? "delete" : currentEntry === undefined ? "create" : "update",
            kind: change.kind,
            name: change.name,
            before: readDeclared(currentEntry?.value).spec,
            after: spec,
            operationId,
        };
        const value = JSON.stringify({ kind: change.kind, name: change.name, spec, operator: change.operator, operationId });
        return {
            operationId,
            compares: [{ key: kvKeys.configHead, revision: store.revision() }, { key, revision: currentEntry?.revision ?? 0 }],
            puts: [
                ...(spec === undefined ? [] : [{ key, value }]),
                { key: kvKeys.configHead, value: JSON.stringify({ operationId }) },
                { key: kvKeys.audit(audit.id), value: JSON.stringify(audit), ...(lease === undefined ? {} : { lease }) },
            ],
            deletes: spec === undefined ? [key] : [],
        };
    };

    /**
     * Writes a change once. If the outcome is unknown, it looks for the audit entry of the operation instead of writing again,
     * because an operation must not be repeated.
     */
    const writeAndConfirm = async (write: KvWrite): Promise<KvWriteOutcome> => {
        let outcome = await kv.write(write);
        for (let attempt = 0; attempt < MAX_OUTCOME_READS && outcome.kind === "unavailable"; attempt += 1) {
            await sleep(RETRY_DELAY_MS);
            const audit = await kv.get(write.puts.at(-1)?.key ?? "");
            const found = audit.isOk ? audit.value.pairs[0] : undefined;
            outcome = found === undefined ? outcome : { kind: "committed", revision: found.revision };
        }
        return outcome;
    };

    const describeConflict = (change: ConfigChangeRequest): Problem | undefined => {
        const key = kvKeys.resource(change.kind, change.name);
        const currentEntry = store.entries().get(key);
        const currentVersion = currentEntry === undefined ? "0" : String(currentEntry.revision);
        if (change.resourceVersion === undefined || change.resourceVersion === currentVersion) {
            return undefined;
        }
        const cause = currentEntry === undefined ? "deleted it" : `changed it (operator ${readDeclared(currentEntry.value).operator ?? "unknown"})`;
        return createConflict(`${change.kind}/${change.name} is at version ${currentVersion}, not ${change.resourceVersion}: another change ${cause}`);
    };

    const applyCommitted = (write: KvWrite, revision: number): void => {
        const key = write.compares[1]?.key ?? "";
        const value = write.puts.find(put => put.key === key)?.value;
        store.apply({
            revision,
            base: write.compares[0]?.revision ?? 0,
            entries: [value === undefined ? { key, revision } : { key, value, revision }],
        });
    };

    /** Waits for the store to reach a revision that is known to exist, up to a limit. */
    const waitForStore = async (head: number): Promise<void> => {
        for (let waits = 0; waits < MAX_ATTEMPTS && store.revision() < head; waits += 1) {
            await sleep(RETRY_DELAY_MS);
        }
    };

    return async (change: ConfigChangeRequest): Promise<Result<{ revision: number }, Problem>> => {
        // The operator may have read the resource from an instance that had a newer configuration than this one.
        await waitForStore(Number(change.resourceVersion ?? "0"));
        const granted = await kv.grantLease(AUDIT_TTL_S);
        const lease = granted.isOk ? granted.value : undefined;
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
            const conflictProblem = describeConflict(change);
            const spec = conflictProblem === undefined ? validate(change) : Result.err<unknown, Problem>(conflictProblem);
            if (spec.isErr) {
                return Result.err(spec.error);
            }
            const write = createWrite(change, spec.value, lease);
            const outcome = await writeAndConfirm(write);
            if (outcome.kind === "committed") {
                applyCommitted(write, outcome.revision);
                return Result.ok({ revision: outcome.revision });
            }
            if (outcome.kind === "unavailable") {
                const detail = `the KV service doesn't answer, so it isn't known whether the change was accepted: ${outcome.reason}`;
                return Result.err(createProblem("outcome-unknown", 504, detail, `look for operation ${write.operationId} with \`medlarlb audit\` later`));
            }
            await waitForStore(outcome.current[0]?.revision ?? 0);
        }
        return Result.err(createConflict("another change was written first at each attempt"));
    };
};
