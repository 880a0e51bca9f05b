import type { TargetEntry } from "medlarlb-types/targetEntry";
import { incarnationKey } from "../crashes/incarnationKey.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Returns whether the process of an entry leaves, or was known to leave, whatever the entry says now. */
export const isKnownLeaving = (context: GatewayContext, { targetId, startedAtMs, leaving }: TargetEntry): boolean =>
    leaving || context.leavingTargets.has(incarnationKey(targetId, startedAtMs));
