import { hashText } from "../../hashText.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { isLargeGroup } from "../status/isLargeGroup.js";

/**
 * Age in ms up to which another instance's report is relied on: three status intervals and the time under way. What an instance
 * holds counts as known to all others only after twice that time, because a decision at another one may rely on a report of that
 * age, and its effect is known here that much later.
 */
const REPORT_VALID_MS = 400;
/**
 * Age in ms of its latest report from which an instance counts as cut off, with an equal part of the memory or what it told last. From
 * the end of the validity until then it may have grown unheard, and this instance takes nothing more.
 */
const SILENT_AFTER_MS = 3_000;
/** Share of the memory that only instances get which have told the others that they compete for it. */
const ANNOUNCED_RATIO = 0.25;
/** Parts into which that share is dealt, so that a rest smaller than a request per instance isn't lost. */
const UNITS = 24;

/**
 * Share of the memory that is kept free in a large group, where reports take longer and each instance's part would be smaller than
 * a request. It makes it unlikely, not impossible, that instances together hold more than the engine has.
 */
const LARGE_GROUP_RESERVE_RATIO = 0.25;
const MAX_SUM_AGE_MS = 1_500;

const allowanceInLargeGroup = ({ nowMs }: GatewayContext, { peerLoads }: PoolTarget, capacity: number): number => {
    let others = 0;
    for (const load of peerLoads.values()) {
        others += nowMs - load.atMs < MAX_SUM_AGE_MS ? load.contextTokens ?? 0 : 0;
    }
    return capacity * (1 - LARGE_GROUP_RESERVE_RATIO) - others;
};

/** Returns the least tokens that this instance has told since a time, and at that time. */
const knownTokens = ({ reports }: PoolTarget["memory"], sinceMs: number): number => {
    const firstKept = reports.findLastIndex(each => each.atMs <= sinceMs);
    return firstKept < 0 ? 0 : Math.min(...reports.slice(firstKept).map(each => each.tokens));
};

/** Returns whether this instance has told since a time, and at that time, that it wants memory. */
const isAnnounced = ({ reports }: PoolTarget["memory"], sinceMs: number): boolean => {
    const firstKept = reports.findLastIndex(each => each.atMs <= sinceMs);
    return firstKept >= 0 && reports.slice(firstKept).every(each => each.isWanted);
};

/**
 * Returns the tokens of an engine's memory that this instance may hold, at most. All instances together never hold more than the
 * engine has: each counts what the others told, of its own tokens those that all others know of, and takes only its part of the rest.
 * A rest that others believe to be larger than it is can't occur, because an instance counts for them with at least what it counts
 * for itself. Most of the rest is shared by all instances, and the last part by those that compete for it.
 */
export const memoryAllowance = (context: GatewayContext, target: PoolTarget, capacity: number): number => {
    const { nowMs, settings, groupView } = context;
    const { memory, peerLoads } = target;
    if (isLargeGroup(context)) {
        return allowanceInLargeGroup(context, target, capacity);
    }
    const peers = [...groupView.present].filter(id => id !== settings.instanceId);
    const instances = peers.length + 1;
    const competitors: string[] = [];
    let others = 0;
    let mayGrow = true;
    let sinceMs = nowMs - 2 * REPORT_VALID_MS;
    for (const id of peers) {
        const silentMs = nowMs - (context.statusArrivedAtMs.get(id) ?? Number.NEGATIVE_INFINITY);
        mayGrow &&= silentMs <= REPORT_VALID_MS || silentMs > SILENT_AFTER_MS;
        const load = peerLoads.get(id);
        if (load?.contextTokens === undefined) {
            continue;
        }
        if (load.wantsMemory === true) {
            competitors.push(id);
        }
        const arrivedAtMs = load.arrivedAtMs ?? load.atMs;
        others += nowMs - arrivedAtMs <= REPORT_VALID_MS ? load.contextTokens : Math.max(load.contextTokens, capacity / instances);
        sinceMs = Math.min(sinceMs, arrivedAtMs - REPORT_VALID_MS);
    }
    const known = knownTokens(memory, sinceMs);
    if (!mayGrow) {
        return known;
    }
    const rest = Math.max(0, capacity - others - known);
    const forAll = Math.max(0, rest - capacity * ANNOUNCED_RATIO);
    if (!isAnnounced(memory, nowMs - REPORT_VALID_MS)) {
        return known + forAll / instances;
    }
    const order = (id: string): number => hashText(`${id}/${target.entry.targetId}`);
    const rank = competitors.filter(id => order(id) < order(settings.instanceId)).length;
    const units = Math.floor((rest - forAll) / (capacity / UNITS));
    const ownUnits = Math.max(0, Math.ceil((units - rank) / (competitors.length + 1)));
    return known + forAll / instances + ownUnits * capacity / UNITS;
};
