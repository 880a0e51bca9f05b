import type { GatewayContext } from "../gatewayContext.js";
import { creditShare } from "./creditShare.js";
import { takeAccruedMs } from "./takeAccruedMs.js";

/** Adds what this instance has accrued to its own pools if it is the hub of its zone. */
export const creditOwnShare = (context: GatewayContext): void => {
    const { quotas, settings } = context;
    if (quotas.hub === settings.instanceId) {
        creditShare(context, settings.instanceId, takeAccruedMs(context), quotas.sharers);
    }
};
