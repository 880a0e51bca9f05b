import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { DecisionContext } from "../decisionContext.js";

/** Takes over what another instance knows of a request under which targets died. */
export const applySuspect = (context: DecisionContext, fingerprint: Fingerprint, crashes: number): void => {
    const known = context.crashRecords.get(fingerprint);
    context.crashRecords.set(fingerprint, { fingerprint, crashes: Math.max(known?.crashes ?? 0, crashes), seenAtMs: context.nowMs });
};
