import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { LeavingObservation } from "medlarlb-types/leavingObservation";
import type { TargetObservation } from "medlarlb-types/targetObservation";
import { incarnationKey } from "../crashes/incarnationKey.js";
import { TOLD_ENDS_MS } from "../crashes/toldEndsMs.js";
import type { GatewayContext } from "../gatewayContext.js";
import { isLargeGroup } from "../status/isLargeGroup.js";

type Member = GatewayContext["members"][number];

/** Number of targets that had left before their entries were gone which new members are told of. An older store may list these. */
const MAX_FORMER_LEAVING = 64;

const processKey = ({ id, bootId }: Member): string => `${id}/${bootId ?? ""}`;

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

const listRecentEnds = (context: GatewayContext): CrashEvidence[] =>
    context.crashes.toldEnds.filter(each => context.nowMs - each.atMs < TOLD_ENDS_MS)
        .flatMap(({ atMs, evidence }) => evidence.flatMap(each => updateEvidence(context, each, atMs)));

const listLeaving = ({ targets, formerTargets, leavingTargets }: GatewayContext): LeavingObservation[] => {
    const isLeaving = ({ entry }: { entry: { targetId: LeavingObservation["targetId"]; startedAtMs: number } }): boolean =>
        leavingTargets.has(incarnationKey(entry.targetId, entry.startedAtMs));
    const former = [...formerTargets.values()].filter(isLeaving).slice(-MAX_FORMER_LEAVING);
    return [...[...targets.values()].filter(isLeaving), ...former]
        .map(({ entry: { targetId, startedAtMs } }) => ({ kind: "leaving", targetId, startedAtMs }));
};

/**
 * Tells members that have just become known, or have started again, which targets leave and which have ended lately. The store
 * doesn't hold what targets say in their answers, and gossip would reach new members later.
 */
export const tellNewMembers = (context: GatewayContext, previous: readonly Member[]): void => {
    const known = new Set(previous.map(processKey));
    // In a large group, those of each zone tell it.
    const mayTell = (member: Member): boolean => !isLargeGroup(context) || member.zone === context.settings.zone;
    const to = context.members.filter(member => !known.has(processKey(member)) && mayTell(member)).map(member => member.id);
    if (to.length === 0) {
        return;
    }
    const observations: TargetObservation[] = [...listLeaving(context), ...listRecentEnds(context)];
    if (observations.length > 0) {
        context.commands.push({ kind: "shareObservations", to, reporterZone: context.settings.zone, observations, byGossip: false });
    }
};
