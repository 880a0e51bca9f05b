/**
 * What the daemon observes of an attempt. `notSent` and `rejected` mean that the target has not run the request.
 * `broken` means that it may have run. `delivered` counts the answer bytes that the caller already has.
 * `connectionRefused` means that the target refuses new connections. `prefixMismatch` means that the attempt was another
 * run, whose answer didn't begin with what the caller has.
 */
export type AttemptEvent =
    | { kind: "firstByte" }
    | { kind: "completed"; status: number }
    | { kind: "notSent"; reason: string }
    | { kind: "rejected"; reason: string; leaving: boolean; notResident: boolean }
    | { kind: "broken"; reason: string; delivered: number; resumable: boolean; connectionRefused: boolean; prefixMismatch?: boolean };
