import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { GatewayContext } from "../gatewayContext.js";
import { dropOldest } from "./dropOldest.js";
import { shareCrashEvidence } from "./shareCrashEvidence.js";

/** Number of completed requests that an instance remembers, some minutes of its requests. */
const MAX_OWN_COMPLETIONS = 4_096;

/** Records that a request was completed. If targets seem to have ended under it, the others are told that it isn't the cause. */
export const recordCompletion = (context: GatewayContext, fingerprint: Fingerprint): void => {
    const { ends, ownCompletions } = context.crashes;
    ownCompletions.delete(fingerprint);
    ownCompletions.set(fingerprint, context.nowMs);
    dropOldest(ownCompletions, MAX_OWN_COMPLETIONS);
    if ([...ends.values()].some(end => end.fingerprints.has(fingerprint))) {
        shareCrashEvidence(context, { kind: "completed", fingerprint, agoMs: 0 });
    }
};
