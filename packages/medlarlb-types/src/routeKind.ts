/**
 * What may be repeated on a route: `safe` requests may run again, `unsafe` ones run once at most, and a `streaming`
 * answer is a series of events.
 */
export type RouteKind = "safe" | "unsafe" | "streaming";
