/**
 * Outcome of an order. `accepted`: it is being carried out. `holds`: the engine was already in the ordered state.
 * `conflict`: another order came first. `otherTarget`: another incarnation has the address. `unknown`: there was no
 * response, and the order may be carried out later.
 */
export type PlacementOrderOutcome = "accepted" | "holds" | "conflict" | "refused" | "otherTarget" | "unknown";
