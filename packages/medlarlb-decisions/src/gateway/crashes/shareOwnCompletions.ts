import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { GatewayContext } from "../gatewayContext.js";
import { shareCrashEvidence } from "./shareCrashEvidence.js";

/** Tells the others which requests of an ended target this instance has seen completed before: they are hardly the cause. */
export const shareOwnCompletions = (context: GatewayContext, evidence: CrashEvidence): void => {
    const { ownCompletions } = context.crashes;
    for (const fingerprint of evidence.kind === "ended" ? evidence.fingerprints : []) {
        const completedAtMs = ownCompletions.get(fingerprint);
        if (completedAtMs !== undefined) {
            shareCrashEvidence(context, { kind: "completed", fingerprint, agoMs: context.nowMs - completedAtMs });
        }
    }
};
