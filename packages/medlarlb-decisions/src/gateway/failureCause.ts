/**
 * Reason why an attempt failed.
 * - `full`, `notHeld`, `otherTarget`: the target refused the request.
 * - `connect`: no connection opened.
 * - `cut`: the connection closed before the response was complete, possibly before it began.
 * - `garbled`: the response was not a complete answer to the request.
 * - `error`: the target responded with a failure of its own.
 * - `silent`: no response came in time.
 */
export type FailureCause = "full" | "notHeld" | "otherTarget" | "connect" | "cut" | "garbled" | "error" | "silent";
