import type { GatewayContext } from "../gatewayContext.js";

/** Instances from which a group counts as large: the cost of telling everyone grows with the square of it. */
const LARGE_GROUP_INSTANCE_COUNT = 16;

/** Tells whether the instances tell each other by way of their planners instead of each one all others. */
export const isLargeGroup = (context: GatewayContext): boolean => context.members.length + 1 >= LARGE_GROUP_INSTANCE_COUNT;
