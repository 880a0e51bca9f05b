import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { GatewayContext } from "../gatewayContext.js";
import type { GatewayInput } from "../gatewayInput.js";
import { isLargeGroup } from "../status/isLargeGroup.js";
import { CRASH_EVIDENCE_TTL_MS } from "./crashEvidenceTtlMs.js";
import { reportEnd } from "./reportEnd.js";
import { shareOwnCompletions } from "./shareOwnCompletions.js";
import { mergeCrashEvidence } from "./mergeCrashEvidence.js";

/** Applies observations of another instance. In a large group, those from other zones are passed on within this zone. */
export const applyCrashEvidence = (context: GatewayContext, input: Extract<GatewayInput, { kind: "crashEvidence" }>): void => {
    if (input.ageMs >= CRASH_EVIDENCE_TTL_MS) {
        return;
    }
    const news = input.evidence.filter((each: CrashEvidence) => mergeCrashEvidence(context.crashes, each, context.nowMs - input.ageMs));
    context.crashes.isChanged ||= news.length > 0;
    news.forEach(each => {
        shareOwnCompletions(context, each);
        const target = each.kind === "ended" ? context.targets.get(each.targetId) : undefined;
        if (each.kind === "ended" && target?.entry.startedAtMs === each.startedAtMs && target.abandonedRequests.length > 0) {
            reportEnd(context, target, []);
        }
    });
    if (isLargeGroup(context) && input.reporterZone !== undefined && input.reporterZone !== context.settings.zone) {
        context.crashes.toRelay.push(...news);
    }
};
