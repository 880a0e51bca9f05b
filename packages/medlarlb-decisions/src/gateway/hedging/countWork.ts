import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { GatewayContext } from "../gatewayContext.js";
import { countRequest } from "../retries/countRequest.js";
import { createRetryBudget } from "../retries/createRetryBudget.js";
import { workUnits } from "./workUnits.js";

/** Counts the work of a caller's request, which adds to the extra work that its service may have. */
export const countWork = (context: GatewayContext, metadata: CallMetadata): void => {
    const { extraWorkRatio, retryWindowMs } = context.settings;
    if (extraWorkRatio <= 0) {
        return;
    }
    const budget = context.extraWorkBudgets.get(metadata.service) ?? createRetryBudget();
    context.extraWorkBudgets.set(metadata.service, budget);
    countRequest(budget, retryWindowMs, context.nowMs, workUnits(metadata));
};
