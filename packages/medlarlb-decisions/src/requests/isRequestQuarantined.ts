import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { DecisionContext } from "../decisionContext.js";

/** Number of crashes from which a request is refused on every instance. */
const QUARANTINE_CRASH_COUNT = 2;

/** Returns whether a request has crashed so many targets that it isn't run again. */
export const isRequestQuarantined = (context: DecisionContext, fingerprint: Fingerprint): boolean =>
    (context.crashRecords.get(fingerprint)?.crashes ?? 0) >= QUARANTINE_CRASH_COUNT;
