import { applyNewEvidence } from "../crashes/applyNewEvidence.js";
import { CRASH_EVIDENCE_TTL_MS } from "../crashes/crashEvidenceTtlMs.js";
import { mergeCrashEvidence } from "../crashes/mergeCrashEvidence.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { GatewayInput } from "../gatewayInput.js";
import { isLargeGroup } from "../status/isLargeGroup.js";

/** Applies observations of another instance. In a large group, those from other zones are passed on within this zone. */
export const applyObservations = (context: GatewayContext, input: Extract<GatewayInput, { kind: "observations" }>): void => {
    if (input.ageMs >= CRASH_EVIDENCE_TTL_MS) {
        return;
    }
    const news = input.observations.filter(each => mergeCrashEvidence(context.crashes, each, context.nowMs - input.ageMs));
    news.forEach(each => applyNewEvidence(context, each));
    if (isLargeGroup(context) && input.reporterZone !== undefined && input.reporterZone !== context.settings.zone) {
        context.observationsToRelay.push(...news);
    }
};
