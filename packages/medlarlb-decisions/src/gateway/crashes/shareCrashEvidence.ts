import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { GatewayContext } from "../gatewayContext.js";
import { shareObservations } from "../observations/shareObservations.js";
import { mergeCrashEvidence } from "./mergeCrashEvidence.js";

/** Records evidence of this instance and tells the others in one message what isn't known already. */
export const shareCrashEvidence = (context: GatewayContext, evidence: readonly CrashEvidence[]): void => {
    const news = evidence.filter(each => mergeCrashEvidence(context.crashes, each, context.nowMs));
    if (news.length > 0) {
        context.crashes.isChanged = true;
        shareObservations(context, news);
    }
};
