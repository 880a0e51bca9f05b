import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { GatewayContext } from "../gatewayContext.js";
import { dropOldest } from "./dropOldest.js";
import { inputsAtMs } from "./inputsAtMs.js";
import { isCompletionNeeded } from "./isCompletionNeeded.js";
import { shareCrashEvidence } from "./shareCrashEvidence.js";

/** Number of completed requests and parts that an instance remembers, some minutes of its requests. */
const MAX_OWN_COMPLETIONS = 8_192;

/** Records that a request was completed. If targets seem to have ended under it, the others are told that it isn't the cause. */
export const recordCompletion = (context: GatewayContext, keys: readonly Fingerprint[]): void => {
    const { ownCompletions } = context.crashes;
    const completedAtMs = inputsAtMs(context);
    for (const key of keys) {
        ownCompletions.delete(key);
        ownCompletions.set(key, completedAtMs);
    }
    dropOldest(ownCompletions, MAX_OWN_COMPLETIONS);
    const needed = keys.filter(key => isCompletionNeeded(context.crashes, key, completedAtMs));
    shareCrashEvidence(context, needed.map(fingerprint => ({ kind: "completed", fingerprint, agoMs: context.nowMs - completedAtMs })));
};
