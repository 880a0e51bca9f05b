import { kvKeys } from "medlarlb-types/kvKeys";
import type { TargetId } from "medlarlb-types/targetId";
import type { DecisionContext } from "../decisionContext.js";

/** Returns the key of a target's ledger in the KV service. The target must be in this instance's zone. */
export const ledgerKey = (context: DecisionContext, targetId: TargetId): string => kvKeys.ledger(context.cfg.zone, targetId);
