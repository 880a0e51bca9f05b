import type { TargetEntry } from "medlarlb-types/targetEntry";
import { createPlainTarget } from "./createPlainTarget.js";
import type { VirtualRun } from "./virtualRun.js";

interface TargetOptions {
    index: number;
    zone: string;
    now: () => number;
    after: (delayMs: number, run: () => void) => void;
    isCrashing: (content: string) => boolean;
    /** Called when the target ends, with all requests that it had. */
    onEnded: (targetId: string, runs: VirtualRun[]) => void;
    onStarted: (entry: TargetEntry) => void;
}

const SLOTS = 6;
const MAX_WAITING = 12;
const WORK_MS = 43;
/** Time in ms from the start of a crashing request to the end of the target, and until it starts again. */
const CRASH_AFTER_MS = 36;
const DOWN_MS = 3_000;

/** Simulates a target of a plain service, which ends under crashing requests and starts again at its address. */
export const createVirtualTarget = ({ index, zone, now, after, isCrashing, onEnded, onStarted }: TargetOptions) => {
    const address = `10.0.0.${index}:80`;
    const running = new Set<VirtualRun>();
    const waiting: VirtualRun[] = [];
    let starts = 0;
    let isUp = true;
    let pausedUntilMs = 0;
    let leavingSinceMs: number | undefined;
    /** Requests per second that it says it takes from all instances together, and since when. */
    let limit: { perSecond: number; sinceMs: number } | undefined;
    /** Every second target keeps its id over a restart, which only the time of its start tells apart. */
    const id = (): string => (index % 2 === 0 ? `t${index}` : `t${index}-${starts}`);
    const entry = (): TargetEntry => createPlainTarget({ id: id(), index, zone, slots: SLOTS, startedAtMs: starts });

    const crash = (): void => {
        const runs = [...running, ...waiting.splice(0)];
        running.clear();
        isUp = false;
        onEnded(id(), runs);
        after(DOWN_MS, () => {
            starts += 1;
            leavingSinceMs = undefined;
            isUp = true;
            onStarted(entry());
        });
    };

    const startNext = (): void => {
        while (running.size < SLOTS) {
            const run = waiting.shift();
            if (run === undefined) {
                return;
            }
            running.add(run);
            const startedIn = starts;
            const crashes = isCrashing(run.content);
            after(crashes ? CRASH_AFTER_MS : WORK_MS, () => {
                if (!isUp || starts !== startedIn) {
                    return;
                }
                if (crashes) {
                    crash();
                    return;
                }
                running.delete(run);
                run.onDone();
                startNext();
            });
        }
    };

    return {
        address,
        id,
        entry,
        isUp: (): boolean => isUp,
        startedAtMs: (): number => starts,
        limit: () => limit,
        /** Has the target name a limit in its answers; `undefined` ends it. */
        setLimit: (perSecond: number | undefined): void => {
            limit = perSecond === undefined ? undefined : { perSecond, sinceMs: now() };
        },
        /** Time since which its answers say that it leaves. */
        leavingSinceMs: (): number | undefined => leavingSinceMs,
        /** Has the target say in its answers that it leaves, although the list calls it ready. */
        leave: (): void => {
            leavingSinceMs = now();
        },
        /** Has the target refuse all requests for a time, and ask for a pause of as long. */
        pause: (durationMs: number): void => {
            pausedUntilMs = now() + durationMs;
        },
        /** Ends the target although no request made it. */
        crash: (): void => {
            if (isUp) {
                crash();
            }
        },
        /** Resets all connections. The target goes on, but the answers of its runs are lost. */
        resetConnections: (): void => {
            const runs = [...running, ...waiting.splice(0)];
            running.clear();
            runs.forEach(run => run.onCut());
        },
        run: (run: VirtualRun): void => {
            if (waiting.length >= MAX_WAITING) {
                run.onRefused(undefined);
                return;
            }
            if (now() < pausedUntilMs) {
                run.onRefused(pausedUntilMs - now());
                return;
            }
            waiting.push(run);
            startNext();
        },
    };
};
