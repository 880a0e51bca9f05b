/**
 * Whether requests of a route may be repeated: `safe` ones may run again, and `unsafe` ones run at most once. The answer
 * of a `streaming` route is a series of events.
 */
export type RouteKind = "safe" | "unsafe" | "streaming";
