import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";
import { incarnationKey } from "./incarnationKey.js";
import { TOLD_ENDS_MS } from "./toldEndsMs.js";

/**
 * Returns what still holds of an end that was told at a time. The receiver counts it as of now, so that what was completed since
 * the end is left out.
 */
const updateEvidence = ({ crashes, nowMs }: GatewayContext, evidence: CrashEvidence, toldAtMs: number): CrashEvidence[] => {
    if (evidence.kind === "completed") {
        return [{ ...evidence, agoMs: evidence.agoMs + nowMs - toldAtMs }];
    }
    if (evidence.kind !== "ended" || !crashes.ends.has(incarnationKey(evidence.targetId, evidence.startedAtMs))) {
        return [];
    }
    const wasCompleted = (each: Fingerprint): boolean => (crashes.completed.get(each) ?? Number.NEGATIVE_INFINITY) >= toldAtMs;
    return [{ ...evidence, fingerprints: evidence.fingerprints.filter(each => !wasCompleted(each)) }];
};

/** Tells members that have just become known of the ends that this instance has reported before. Gossip would reach them later. */
export const tellNewMembers = (context: GatewayContext, previousIds: ReadonlySet<InstanceId>): void => {
    const recent = context.crashes.toldEnds.filter(each => context.nowMs - each.atMs < TOLD_ENDS_MS);
    const to = recent.length === 0 ? [] : context.members.map(member => member.id).filter(id => !previousIds.has(id));
    if (to.length > 0) {
        const observations = recent.flatMap(({ atMs, evidence }) => evidence.flatMap(each => updateEvidence(context, each, atMs)));
        context.commands.push({ kind: "shareObservations", to, reporterZone: context.settings.zone, observations, byGossip: false });
    }
};
