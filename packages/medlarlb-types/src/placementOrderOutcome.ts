/**
 * Answer to an order. `accepted`: it is being carried out; `holds`: the engine was already as ordered; `conflict`: another
 * order came first; `otherTarget`: another incarnation has the address; `unknown`: no response, it may take effect later.
 */
export type PlacementOrderOutcome = "accepted" | "holds" | "conflict" | "refused" | "otherTarget" | "unknown";
