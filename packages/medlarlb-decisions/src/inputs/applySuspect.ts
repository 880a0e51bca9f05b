import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { World } from "../world.js";

/** Takes over what another instance knows of a request under which targets died. */
export const applySuspect = (world: World, fingerprint: Fingerprint, crashes: number): void => {
    const known = world.suspects.get(fingerprint);
    world.suspects.set(fingerprint, { fingerprint, crashes: Math.max(known?.crashes ?? 0, crashes), seenAtMs: world.nowMs });
};
