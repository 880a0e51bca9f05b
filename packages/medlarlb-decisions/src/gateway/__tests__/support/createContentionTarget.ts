import { createPlainTarget } from "./createPlainTarget.js";

interface TargetOptions {
    index: number;
    zone: string;
    slots: number;
    workMs: number;
    random: () => number;
    now: () => number;
    after: (delayMs: number, run: () => void) => void;
}

/** Requests that wait at a target before it refuses others, as a multiple of its places. */
const WAITING_ROOM_RATIO = 2;
/** Largest deviation of the time that a request takes, as a share of the mean. */
const WORK_SPREAD = 0.25;

/** Simulates a target of a plain service that runs a number of requests at a time, and counts the time that its places are used. */
export const createContentionTarget = ({ index, zone, slots, workMs, random, now, after }: TargetOptions) => {
    const waiting: (() => void)[] = [];
    let running = 0;
    let busyMs = 0;
    const entry = createPlainTarget({ id: `t${index}`, index, zone, slots });
    const startNext = (): void => {
        const onDone = running < slots ? waiting.shift() : undefined;
        if (onDone === undefined) {
            return;
        }
        running += 1;
        const tookMs = workMs * (1 + WORK_SPREAD * (2 * random() - 1));
        const beganAtMs = now();
        after(tookMs, () => {
            running -= 1;
            busyMs += now() - beganAtMs;
            onDone();
            startNext();
        });
    };
    return {
        entry,
        load: () => ({ running, waiting: waiting.length, slots }),
        /** Returns the time in ms for which its places were used by requests that have ended, summed up over the places. */
        busyMs: (): number => busyMs,
        /** Returns whether it takes the request. */
        run: (onDone: () => void): boolean => {
            if (waiting.length >= slots * WAITING_ROOM_RATIO) {
                return false;
            }
            waiting.push(onDone);
            startNext();
            return true;
        },
    };
};
