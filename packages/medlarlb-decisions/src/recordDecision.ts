import { brandAs } from "medlarlb-types/brandAs";
import type { DecisionAction } from "medlarlb-types/decisionAction";
import type { DecisionId } from "medlarlb-types/decisionId";
import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { DecisionContext } from "./decisionContext.js";

type Details = Partial<Pick<DecisionRecord, "target" | "inputs" | "cause">>;

/** Records a decision for the resource API and returns its id, so that later decisions can name it as cause. */
export const recordDecision = (
    world: DecisionContext,
    action: DecisionAction,
    subject: string,
    reason: string,
    details: Details = {},
): DecisionId => {
    world.sequence += 1;
    const id = brandAs<DecisionId>(`${world.cfg.instanceId}-${world.cfg.bootId.slice(0, 8)}-${world.sequence}`);
    const record: DecisionRecord = {
        id,
        instance: world.cfg.instanceId,
        sequence: world.sequence,
        atMs: world.nowMs,
        action,
        subject,
        reason,
        inputs: details.inputs ?? {},
        ...(details.target === undefined ? {} : { target: details.target }),
        ...(details.cause === undefined ? {} : { cause: details.cause }),
    };
    world.commands.push({ kind: "record", record });
    return id;
};
