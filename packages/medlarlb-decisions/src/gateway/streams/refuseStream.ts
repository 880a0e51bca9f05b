import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { isSameVersion } from "./isSameVersion.js";

/** Returns why no target can go on with a call's stream, or undefined if one may. */
export const refuseStream = (context: GatewayContext, row: CallRow): string | undefined => {
    const { origin, excludedTargets, metadata: { service, route } } = row;
    if (origin === undefined) {
        return undefined;
    }
    if (origin.softwareVersion === undefined) {
        return "the software version that began this stream is in doubt; begin it anew";
    }
    if (origin.service !== service && !route.destinations.some(each => each.service === origin.service)) {
        return `the route no longer leads to ${origin.service}, which began this stream; begin it anew`;
    }
    const isLeft = (context.targetsByService.get(origin.service) ?? []).some(({ entry, leaving }) =>
        !leaving && !excludedTargets.has(entry.targetId) && isSameVersion(entry.softwareVersion, origin.softwareVersion));
    return isLeft
        ? undefined
        : `no target of software version ${origin.softwareVersion}, which began this stream, is left for it; begin it anew`;
};
