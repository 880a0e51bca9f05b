import type { GroupView } from "./groupView.js";

/** Creates the view of an instance that has just started, which has no tokens of the fixed allowance. */
export const createGroupView = (): GroupView => ({
    present: new Set(),
    isListed: false,
    goneAtMs: new Map(),
    observedSinceMs: Number.POSITIVE_INFINITY,
    contactAtMs: Number.NEGATIVE_INFINITY,
    tokens: 0,
    instances: 1,
    loggedShare: "",
});
