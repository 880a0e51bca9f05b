import type { AttemptId } from "medlarlb-types/attemptId";
import type { ItemId } from "medlarlb-types/itemId";
import { createId } from "../createId.js";
import type { RequestRow } from "../rows/requestRow.js";
import type { TargetRow } from "../rows/targetRow.js";
import type { DecisionContext } from "../decisionContext.js";

const MAX_PREFIX_COUNT = 4_096;

const rememberPrefix = (context: DecisionContext, row: RequestRow, target: TargetRow): void => {
    const { prefix } = row.request;
    if (prefix === undefined) {
        return;
    }
    // Deleting first keeps the map in order of last use.
    context.prefixTargets.delete(prefix);
    context.prefixTargets.set(prefix, target.targetId);
    if (context.prefixTargets.size > MAX_PREFIX_COUNT) {
        context.prefixTargets.delete(context.prefixTargets.keys().next().value as string);
    }
};

/**
 * Starts an attempt of a request on a target. A non-idempotent request and each retry use a new connection, because
 * a reused one may be half-open.
 */
export const startAttempt = (context: DecisionContext, row: RequestRow, target: TargetRow, itemId: ItemId | undefined): void => {
    const { requestId } = row.request;
    row.state = "running";
    row.attemptId = createId<AttemptId>(context, "attempt");
    row.targetId = target.targetId;
    row.itemId = itemId;
    row.sentAtMs = context.nowMs;
    row.attempts += 1;
    target.localInFlight += 1;
    if (row.isolated) {
        context.isolatedRequestId = requestId;
    }
    rememberPrefix(context, row, target);
    context.commands.push({
        kind: "run",
        requestId,
        attemptId: row.attemptId,
        targetId: target.targetId,
        itemId,
        freshConnection: row.request.nonIdempotent || row.attempts > 1,
    });
};
