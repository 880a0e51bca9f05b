import type { GatewayContext } from "../gatewayContext.js";
import { isLargeGroup } from "../status/isLargeGroup.js";
import { rankOriginHolders } from "./rankOriginHolders.js";

/** Number of instances of each zone that are asked in a large group: the holder, and the one that may hold it for another view. */
const ASKED_PER_ZONE = 2;

/** Asks other instances who began a stream: all, or in a large group those that may hold its origin. */
export const askForOrigin = (context: GatewayContext, requestId: string): void => {
    const asked = isLargeGroup(context)
        ? rankOriginHolders(context, requestId).filter(each => each.place < ASKED_PER_ZONE)
        : context.members;
    context.commands.push({ kind: "askOrigin", to: asked.map(each => each.id), requestId });
};
