import type { Check } from "./check.js";
import { checks } from "./checks.js";

const { count, id, list, number, object, optional, positive } = checks;

const process = { targetId: id, startedAtMs: number };
const checksByKind: ReadonlyMap<unknown, Check> = new Map([
    ["ended", object({ ...process, fingerprints: list(id) })],
    ["alive", object(process)],
    ["completed", object({ fingerprint: id, agoMs: count })],
    ["limit", object({ ...process, perSecond: optional(positive) })],
    ["leaving", object(process)],
]);

/** Check of what an instance has learnt about targets. */
export const targetObservationCheck: Check = (value, path) => {
    const check = checksByKind.get((value as { kind?: unknown } | undefined)?.kind);
    return check === undefined ? `${path}.kind` : check(value, path);
};
