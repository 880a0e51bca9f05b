/**
 * Outcome of sending an order. `done` and `refused` are final. `stale` is final too: the engine has a higher fencing
 * number. `accepted`: the engine is carrying the order out. `lost`: no valid response came, so the order is sent again.
 */
export type OrderOutcome = "done" | "accepted" | "refused" | "stale" | "lost";
