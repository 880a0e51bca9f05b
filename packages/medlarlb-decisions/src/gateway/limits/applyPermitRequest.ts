import type { InstanceId } from "medlarlb-types/instanceId";
import type { PermitAnswer } from "medlarlb-types/permitAnswer";
import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayContext } from "../gatewayContext.js";
import { applyPermitAnswer } from "./applyPermitAnswer.js";
import { takeLimitToken } from "./takeLimitToken.js";

/** Share of a limit that permits use. The rest is for instances that send without one while they can't reach the planner. */
const PERMIT_RATIO = 0.9;
/** Requests that may be saved up: one, and those of a tenth of a second. */
const SAVED_SECONDS = 0.1;
/** Time in ms for which an instance that asked for a permit counts as one that needs more. */
const COMPETING_MS = 1_000;

/** Answers an instance that asks this planner for a permit to send one request to a limited target of its zone. */
export const applyPermitRequest = (context: GatewayContext, targetId: TargetId, from: InstanceId): void => {
    const target = context.targets.get(targetId);
    const limit = target?.requestLimit;
    if (target === undefined || limit === undefined || context.fence === undefined || target.entry.zone !== context.settings.zone) {
        return;
    }
    const { permitRequesters } = target;
    permitRequesters.set(from, context.nowMs);
    permitRequesters.forEach((atMs, id) => context.nowMs - atMs > COMPETING_MS && permitRequesters.delete(id));
    const answer: PermitAnswer = {
        targetId,
        startedAtMs: target.entry.startedAtMs,
        granted: takeLimitToken(context, target, limit * PERMIT_RATIO, 1 + limit * SAVED_SECONDS),
        competing: permitRequesters.size,
    };
    if (from === context.settings.instanceId) {
        applyPermitAnswer(context, answer);
        return;
    }
    context.commands.push({ kind: "answerPermit", to: from, answer });
};
