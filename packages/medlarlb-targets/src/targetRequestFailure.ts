/**
 * Why a call to a target has no complete answer. `notSent`: no byte reached the target. `refused`: as before, and the
 * target's machine says that nothing listens. `broken`: the target may have run the request.
 */
export interface TargetRequestFailure {
    kind: "notSent" | "refused" | "broken";
    reason: string;
}
