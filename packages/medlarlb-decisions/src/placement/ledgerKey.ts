import { kvKeys } from "medlarlb-types/kvKeys";
import type { TargetId } from "medlarlb-types/targetId";
import type { DecisionContext } from "../decisionContext.js";

/** Key of a target's ledger in the KV service. Only targets of the instance's own zone have one here. */
export const ledgerKey = (context: DecisionContext, targetId: TargetId): string => kvKeys.ledger(context.cfg.zone, targetId);
