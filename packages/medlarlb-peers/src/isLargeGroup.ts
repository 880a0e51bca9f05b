/** Number of other members from which an instance exchanges probes and gossip with a few fixed members only. */
const LARGE_GROUP_MEMBER_COUNT = 16;

/** Returns whether a group with this number of other members counts as large. */
export const isLargeGroup = (memberCount: number): boolean => memberCount >= LARGE_GROUP_MEMBER_COUNT;
