import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Tells whether a target holds the model that a request names, and its adapter if `withAdapter`. */
export const holdsFor = (target: PoolTarget, facts: CallMetadata, withAdapter: boolean): boolean => {
    if (facts.model === undefined) {
        return true;
    }
    const adapters = target.models.get(facts.model);
    if (adapters === undefined || target.closing.has(facts.model)) {
        return false;
    }
    return !withAdapter || facts.adapter === undefined || adapters.has(facts.adapter);
};
