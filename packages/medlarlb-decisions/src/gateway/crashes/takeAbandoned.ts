import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Time in ms after which a target that has ended hasn't done so under a request whose attempt was given up or completed. */
const ABANDONED_RUN_MS = 1_000;

/** Returns the requests that a target may have run when it ended although their attempts had been given up, and forgets them. */
export const takeAbandoned = (context: GatewayContext, target: PoolTarget): Fingerprint[] =>
    [...target.abandonedRequests.splice(0), ...target.unprovedCompletions.splice(0)]
        .filter(each => context.nowMs - each.atMs < ABANDONED_RUN_MS).flatMap(each => each.keys);
