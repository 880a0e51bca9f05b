import { createProblem } from "medlarlb-types/createProblem";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { Problem } from "medlarlb-types/problem";
import type { Resource } from "medlarlb-types/resource";
import { Result } from "true-myth";
import type { createKvClient } from "medlarlb-platform/createKvClient";

/** Reads the audit trail from the KV service, oldest first. */
export const readAudit = async (kv: ReturnType<typeof createKvClient>): Promise<Result<Resource[], Problem>> => {
    const range = await kv.list(kvKeys.auditPrefix);
    if (range.isErr) {
        const detail = `the KV service doesn't answer: ${range.error.message}`;
        return Result.err(createProblem("kv-unavailable", 503, detail, "try again when the KV service answers", { retryAfterMs: 1_000 }));
    }
    return Result.ok(range.value.pairs.map(({ key, value, revision }) => ({
        kind: "auditentries" as const,
        name: key.slice(kvKeys.auditPrefix.length),
        resourceVersion: String(revision),
        spec: JSON.parse(value) as Record<string, unknown>,
    })));
};
