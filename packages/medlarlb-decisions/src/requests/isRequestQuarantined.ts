import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { DecisionContext } from "../decisionContext.js";

/** Crashes from which a request is refused everywhere. */
const QUARANTINE_CRASHES = 2;

/** Tells whether targets have died under a request so often that it runs no more. */
export const isRequestQuarantined = (context: DecisionContext, fingerprint: Fingerprint): boolean =>
    (context.crashRecords.get(fingerprint)?.crashes ?? 0) >= QUARANTINE_CRASHES;
