/**
 * Outcome of an order to an engine. `accepted`: the engine is carrying it out. `holds`: the engine was already as ordered.
 * `conflict`: the engine has accepted another order first. `refused`: the engine doesn't carry it out. `otherTarget`:
 * another incarnation has the address. `unknown`: there was no response that decides it, and the order may take effect later.
 */
export type PlacementOrderOutcome = "accepted" | "holds" | "conflict" | "refused" | "otherTarget" | "unknown";
