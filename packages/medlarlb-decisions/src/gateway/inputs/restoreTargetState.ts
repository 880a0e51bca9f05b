import type { GatewayContext } from "../gatewayContext.js";
import { setTargetLimit } from "../limits/setTargetLimit.js";
import type { FormerTarget } from "../rows/formerTarget.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Carries over to the new row of a target what its process had told or shown before its entry was gone for a while. */
export const restoreTargetState = (context: GatewayContext, target: PoolTarget, former: FormerTarget): void => {
    if (former.requestLimit !== undefined) {
        setTargetLimit(context, target, former.requestLimit, "before its entry was gone");
    }
    Object.assign(target, former, { entry: target.entry });
};
