import type { GatewayContext } from "../gatewayContext.js";

/** Number of instances from which a group counts as large: messages from each to all others grow with the square of it. */
const LARGE_GROUP_INSTANCE_COUNT = 16;

/** Returns whether instances exchange their load through their planners instead of directly with each other. */
export const isLargeGroup = (context: GatewayContext): boolean => context.members.length + 1 >= LARGE_GROUP_INSTANCE_COUNT;
