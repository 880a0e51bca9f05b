/**
 * Answer to an order. `accepted`: it is being carried out; `holds`: it already was as ordered; `conflict`: another
 * order came first; `otherTarget`: another incarnation has the address; `unknown`: no answer, it may happen later.
 */
export type PlacementOrderOutcome = "accepted" | "holds" | "conflict" | "refused" | "otherTarget" | "unknown";
