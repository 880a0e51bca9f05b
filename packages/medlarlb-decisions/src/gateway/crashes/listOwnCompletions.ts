import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { GatewayContext } from "../gatewayContext.js";
import { isCompletionNeeded } from "./isCompletionNeeded.js";

/** Lists what this instance has seen completed of the requests and parts of an ended target: these are hardly the cause. */
export const listOwnCompletions = (context: GatewayContext, evidence: CrashEvidence): CrashEvidence[] => {
    if (evidence.kind !== "ended") {
        return [];
    }
    return evidence.fingerprints.flatMap(fingerprint => {
        const completedAtMs = context.crashes.ownCompletions.get(fingerprint);
        const isNeeded = completedAtMs !== undefined && isCompletionNeeded(context.crashes, fingerprint, completedAtMs);
        return isNeeded ? [{ kind: "completed", fingerprint, agoMs: context.nowMs - completedAtMs }] : [];
    });
};
