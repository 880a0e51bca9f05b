import type { EntryOrigin } from "medlarlb-types/entryOrigin";
import type { TargetId } from "medlarlb-types/targetId";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import { dropManagedEngine } from "../placement/dropManagedEngine.js";
import { leavePools } from "../pools/leavePools.js";
import { recordFormerVersion } from "../streams/recordFormerVersion.js";
import { indexTargets } from "./indexTargets.js";
import { rememberFormerTarget } from "./rememberFormerTarget.js";

/** Removes a target that the platform's list no longer contains. */
export const removeTarget = (context: GatewayContext, targetId: TargetId, origin?: EntryOrigin): void => {
    const target = context.targets.get(targetId);
    if (target !== undefined) {
        context.targets.delete(targetId);
        rememberFormerTarget(context, target);
        recordFormerVersion(context, target.entry);
        leavePools(context, target);
        dropManagedEngine(context, targetId);
        indexTargets(context);
        logEvent(context, "targetGone", { target: targetId, origin });
    }
};
