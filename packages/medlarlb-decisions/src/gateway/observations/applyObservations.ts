import type { TargetObservation } from "medlarlb-types/targetObservation";
import { applyNewEvidence } from "../crashes/applyNewEvidence.js";
import { inputsAtMs } from "../crashes/inputsAtMs.js";
import { CRASH_EVIDENCE_TTL_MS } from "../crashes/crashEvidenceTtlMs.js";
import { mergeCrashEvidence } from "../crashes/mergeCrashEvidence.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { GatewayInput } from "../gatewayInput.js";
import { mergeLeavingObservation } from "../leaving/mergeLeavingObservation.js";
import { mergeLimitObservation } from "../limits/mergeLimitObservation.js";
import { isLargeGroup } from "../status/isLargeGroup.js";

/** Applies an observation and returns whether it was news. */
const mergeObservation = (context: GatewayContext, observation: TargetObservation, ageMs: number): boolean => {
    if (observation.kind === "limit") {
        return mergeLimitObservation(context, observation);
    }
    if (observation.kind === "leaving") {
        return mergeLeavingObservation(context, observation);
    }
    return mergeCrashEvidence(context.crashes, observation, context.nowMs - ageMs);
};

/** Applies observations of another instance. In a large group, those from other zones are passed on within this zone. */
export const applyObservations = (context: GatewayContext, input: Extract<GatewayInput, { kind: "observations" }>): void => {
    if (input.ageMs >= CRASH_EVIDENCE_TTL_MS) {
        return;
    }
    // A completion that came in a standstill may be from before it. Taken for newer than it is, it would clear later ends.
    const readLateMs = context.nowMs - inputsAtMs(context);
    const observations = input.observations.map(each => (each.kind === "completed" ? { ...each, agoMs: each.agoMs + readLateMs } : each));
    const news = observations.filter(each => mergeObservation(context, each, input.ageMs));
    // All of a message is known before anything follows from it.
    for (const observation of news) {
        if (observation.kind !== "limit" && observation.kind !== "leaving") {
            applyNewEvidence(context, observation);
        }
    }
    if (isLargeGroup(context) && input.reporterZone !== undefined && input.reporterZone !== context.settings.zone) {
        context.observationsToRelay.push(...news);
    }
};
