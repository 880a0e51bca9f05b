/**
 * Outcome of sending an order. `done` and `refused` are final. `stale` is final too: the engine holds a higher
 * fencing number. `accepted` is under way. `lost` means that no answer came, so the order is sent again.
 */
export type OrderOutcome = "done" | "accepted" | "refused" | "stale" | "lost";
