import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { CERTAIN_END_COUNT } from "./certainEndCount.js";
import { crashKeys } from "./crashKeys.js";

/** Returns why a call isn't sent to targets any more because of what ended them, with the remedy; undefined if it may be sent. */
export const crashRefusal = ({ crashes }: GatewayContext, { metadata, crashKeys: keys }: CallRow): string | undefined => {
    const endedTargets = crashes.refused.get(metadata.fingerprint);
    if (endedTargets !== undefined) {
        const duration = endedTargets < CERTAIN_END_COUNT ? "some seconds" : "ten minutes";
        return `${endedTargets} targets have ended while they ran this request; change it, an equal one stays refused for ${duration}`;
    }
    const parts = crashes.refusedParts.find(each => each.keys.every(key => keys.includes(key)));
    if (parts === undefined) {
        return undefined;
    }
    const ids = parts.keys.map(crashKeys.partId).join(" with ");
    return `${parts.endedTargets} targets have ended under requests with the prompt part ${ids}; leave it out, it stays refused for ten minutes`;
};
