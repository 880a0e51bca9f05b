import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { DecisionContext } from "../decisionContext.js";

/** Takes over what another instance knows of a request under which targets died. */
export const applySuspect = (world: DecisionContext, fingerprint: Fingerprint, crashes: number): void => {
    const known = world.suspects.get(fingerprint);
    world.suspects.set(fingerprint, { fingerprint, crashes: Math.max(known?.crashes ?? 0, crashes), seenAtMs: world.nowMs });
};
