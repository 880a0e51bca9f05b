import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Returns whether a target holds the model that a request names, and its adapter if `withAdapter` is set. */
export const hasRequestedModel = (target: PoolTarget, metadata: CallMetadata, withAdapter: boolean): boolean => {
    if (metadata.model === undefined) {
        return true;
    }
    const adapters = target.models.get(metadata.model);
    if (adapters === undefined || target.closing.has(metadata.model)) {
        return false;
    }
    return !withAdapter || metadata.adapter === undefined || adapters.has(metadata.adapter);
};
