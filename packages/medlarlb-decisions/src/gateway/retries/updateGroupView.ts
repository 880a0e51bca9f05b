import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";
import { logRetryShare } from "./logRetryShare.js";
import { shareFixedTokens } from "./shareFixedTokens.js";

/** Applies the ids of the instances that the store lists and of those that respond. Those that are gone keep their part for a time. */
export const updateGroupView = (context: GatewayContext, listed: readonly InstanceId[], responding: readonly InstanceId[]): void => {
    const { groupView: view, nowMs, settings } = context;
    const present = new Set([...listed, ...responding]);
    for (const id of view.present) {
        if (!present.has(id)) {
            view.goneAtMs.set(id, nowMs);
        }
    }
    view.present = present;
    view.isListed = listed.includes(settings.instanceId);
    shareFixedTokens(context);
    logRetryShare(context);
};
