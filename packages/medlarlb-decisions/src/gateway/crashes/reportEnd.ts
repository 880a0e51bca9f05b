import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { Fingerprint } from "medlarlb-types/fingerprint";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { shareObservations } from "../observations/shareObservations.js";
import { keepToldEnd } from "./keepToldEnd.js";
import { listOwnCompletions } from "./listOwnCompletions.js";
import { mergeCrashEvidence } from "./mergeCrashEvidence.js";
import { takeAbandoned } from "./takeAbandoned.js";

/** Records that a target has ended while it had requests of this instance, and tells the others. */
export const reportEnd = (context: GatewayContext, target: PoolTarget, requests: readonly Fingerprint[]): void => {
    const { targetId, startedAtMs } = target.entry;
    const fingerprints = [...new Set([...requests, ...takeAbandoned(context, target)])];
    const evidence: CrashEvidence = { kind: "ended", targetId, startedAtMs, fingerprints };
    logEvent(context, "targetEnded", { target: targetId, startedAtMs, fingerprints });
    if (mergeCrashEvidence(context.crashes, evidence, context.nowMs)) {
        context.crashes.isChanged = true;
        const completions = listOwnCompletions(context, evidence).filter(each => mergeCrashEvidence(context.crashes, each, context.nowMs));
        // One message, so that nobody judges the end without them.
        shareObservations(context, [evidence, ...completions]);
        keepToldEnd(context, [evidence, ...completions]);
    }
};
