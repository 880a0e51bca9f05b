import { brandAs } from "medlarlb-types/brandAs";
import type { DecisionAction } from "medlarlb-types/decisionAction";
import type { DecisionId } from "medlarlb-types/decisionId";
import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { DecisionContext } from "./decisionContext.js";

type Details = Partial<Pick<DecisionRecord, "target" | "inputs" | "cause">>;

/** Records a decision for the resource API. Returns its id, which later decisions may refer to as their cause. */
export const recordDecision = (
    context: DecisionContext,
    action: DecisionAction,
    subject: string,
    reason: string,
    details: Details = {},
): DecisionId => {
    context.sequence += 1;
    const id = brandAs<DecisionId>(`${context.cfg.instanceId}-${context.cfg.bootId.slice(0, 8)}-${context.sequence}`);
    const record: DecisionRecord = {
        id,
        instance: context.cfg.instanceId,
        sequence: context.sequence,
        atMs: context.nowMs,
        action,
        subject,
        reason,
        inputs: details.inputs ?? {},
        ...(details.target === undefined ? {} : { target: details.target }),
        ...(details.cause === undefined ? {} : { cause: details.cause }),
    };
    context.commands.push({ kind: "record", record });
    return id;
};
