import type { PoolTarget } from "../rows/poolTarget.js";

/** Half-life in ms of the averages. It spans several changes of a machine that changes many times a second. */
const MEAN_HALF_LIFE_MS = 1_000;
/** Bounds of a reported multiple, so that a wrong figure can't keep a target from being used or attract all requests. */
const MIN_RATIO = 0.1;
const MAX_RATIO = 20;

interface Report {
    running: number;
    waiting: number;
    slots: number;
    workTimeRatio?: number | undefined;
}

/**
 * Records the duration of work that a target reports, as a multiple of the usual one, and its load. The averages are weighted by
 * time: a slow target gets fewer requests, and thus sends fewer reports.
 */
export const recordWorkTime = (target: PoolTarget, { running, waiting, slots, workTimeRatio }: Report, nowMs: number): void => {
    if (workTimeRatio === undefined) {
        target.workTime = undefined;
        return;
    }
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, workTimeRatio));
    // The report is that of an answer: its request still counts here, but no longer at the target.
    const ownInFlight = Math.max(0, target.activeAttempts.size - 1);
    const occupancy = (running + 1) / Math.max(1, slots);
    const previous = target.workTime ?? { meanRatio: 1, meanOccupancy: occupancy, atMs: nowMs };
    const keptShare = 0.5 ** ((nowMs - previous.atMs) / MEAN_HALF_LIFE_MS);
    target.workTime = {
        ratio,
        meanRatio: ratio + (previous.meanRatio - ratio) * keptShare,
        othersInFlight: Math.max(0, running + waiting - ownInFlight),
        meanOccupancy: occupancy + (previous.meanOccupancy - occupancy) * keptShare,
        atMs: nowMs,
    };
};
