import type { Fingerprint } from "./fingerprint.js";
import type { TargetId } from "./targetId.js";

/**
 * What an instance has observed about targets that ended and the requests that they had. The start time tells a target from
 * an earlier one with its id. Instances share these observations, whose order doesn't matter.
 * - `ended`: the process of a target has ended while it had these requests.
 * - `alive`: that was wrong, since the target has responded to a later request.
 * - `completed`: a request has got a complete successful answer `agoMs` before, so that earlier ends had another cause.
 */
export type CrashEvidence =
    | { kind: "ended"; targetId: TargetId; startedAtMs: number; fingerprints: Fingerprint[] }
    | { kind: "alive"; targetId: TargetId; startedAtMs: number }
    | { kind: "completed"; fingerprint: Fingerprint; agoMs: number };
