import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { DecisionContext } from "../decisionContext.js";

/** Merges the crash record that another instance has of a request into the one of this instance. */
export const applyCrashCount = (context: DecisionContext, fingerprint: Fingerprint, crashes: number): void => {
    const known = context.crashRecords.get(fingerprint);
    context.crashRecords.set(fingerprint, { fingerprint, crashes: Math.max(known?.crashes ?? 0, crashes), seenAtMs: context.nowMs });
};
