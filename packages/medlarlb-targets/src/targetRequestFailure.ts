/**
 * Why a call to a target has no complete answer. `notSent`: no byte reached the target. `refused`: no byte reached it
 * either, and the target's machine reports that nothing listens. `broken`: the target may have run the request.
 */
export interface TargetRequestFailure {
    kind: "notSent" | "refused" | "broken";
    reason: string;
}
