import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { GatewayContext } from "../gatewayContext.js";
import { listEvidenceRecipients } from "./listEvidenceRecipients.js";
import { mergeCrashEvidence } from "./mergeCrashEvidence.js";

/** Records an observation of this instance and tells the others, unless it is known already. */
export const shareCrashEvidence = (context: GatewayContext, evidence: CrashEvidence): void => {
    if (!mergeCrashEvidence(context.crashes, evidence, context.nowMs)) {
        return;
    }
    context.crashes.isChanged = true;
    context.commands.push({
        kind: "shareCrashEvidence",
        to: listEvidenceRecipients(context),
        reporterZone: context.settings.zone,
        evidence: [evidence],
        isOwn: true,
    });
};
