import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { GatewayContext } from "../gatewayContext.js";
import { shareObservation } from "../observations/shareObservation.js";
import { mergeCrashEvidence } from "./mergeCrashEvidence.js";

/** Records evidence of this instance and tells the others, unless it is known already. */
export const shareCrashEvidence = (context: GatewayContext, evidence: CrashEvidence): void => {
    if (mergeCrashEvidence(context.crashes, evidence, context.nowMs)) {
        context.crashes.isChanged = true;
        shareObservation(context, evidence);
    }
};
