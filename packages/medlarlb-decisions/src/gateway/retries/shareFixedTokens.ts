import type { InstanceId } from "medlarlb-types/instanceId";
import { hashText } from "../../hashText.js";
import type { GatewayContext } from "../gatewayContext.js";
import { USED_BUDGET_RATIO } from "./usedBudgetRatio.js";

const isBefore = (one: InstanceId, other: InstanceId): boolean => {
    const [oneHash, otherHash] = [hashText(one), hashText(other)];
    return oneHash === otherHash ? one < other : oneHash < otherHash;
};

/**
 * Deals the tokens of the fixed allowance in turn to all instances, in the order of their hashed ids, so that they are spread
 * over the zones. An instance that counts more instances than others do gets no more tokens for it.
 */
export const shareFixedTokens = (context: GatewayContext): void => {
    const { groupView: view, settings } = context;
    const sharers = new Set([...view.present, ...view.goneAtMs.keys(), settings.instanceId]);
    const rank = [...sharers].filter(id => isBefore(id, settings.instanceId)).length;
    view.instances = sharers.size;
    view.tokens = Math.max(0, Math.ceil((Math.floor(settings.retryExtra * USED_BUDGET_RATIO) - rank) / sharers.size));
};
