import type { TargetEntry } from "medlarlb-types/targetEntry";
import { createPlainTarget } from "./createPlainTarget.js";
import type { VirtualStreamRun } from "./virtualStreamRun.js";

interface VirtualStreamTarget {
    index: number;
    version: string;
    starts: number;
    isUp: boolean;
    /** Whether it will start again at a time that is set. */
    isRestarting: boolean;
    upSinceMs: number;
    runs: Set<VirtualStreamRun>;
}

interface TargetsOptions {
    count: number;
    zones: number;
    /** Version of each target at first; undefined for one that doesn't run yet. */
    versionOf: (index: number) => string | undefined;
    eventMs: number;
    random: () => number;
    now: () => number;
    after: (ms: number, action: () => void) => void;
    /** Called when a target has started, so that its entry is written. */
    onStarted: (target: VirtualStreamTarget) => void;
}

/** Creates the targets of virtual streams, which send an event at a time. */
export const createVirtualStreamTargets = ({ count, zones, versionOf, eventMs, random, now, after, onStarted }: TargetsOptions) => {
    const targets: VirtualStreamTarget[] = Array.from({ length: count }, (_, index) => ({
        index,
        version: versionOf(index) ?? "",
        starts: 0,
        isUp: versionOf(index) !== undefined,
        isRestarting: false,
        upSinceMs: Number.NEGATIVE_INFINITY,
        runs: new Set<VirtualStreamRun>(),
    }));
    const entryOf = ({ index, version, starts }: VirtualStreamTarget): TargetEntry =>
        createPlainTarget({ id: `t${index}`, index, zone: `z${index % zones}`, slots: 64, softwareVersion: version, startedAtMs: starts });

    const startRun = (target: VirtualStreamTarget, firstEvent: number, each: VirtualStreamRun): void => {
        target.runs.add(each);
        const sendEvent = (index: number): void => {
            if (each.isOpen && target.runs.has(each)) {
                each.onEvent(target.version, index);
                after(eventMs, () => sendEvent(index + 1));
            }
        };
        after(20 + random() * 60, () => sendEvent(firstEvent));
    };

    const startTarget = (target: VirtualStreamTarget, version: string): void => {
        Object.assign(target, { isUp: true, isRestarting: false, version, starts: target.starts + 1, upSinceMs: now() });
        onStarted(target);
    };

    return {
        targets,
        entryOf,
        startRun,
        /** Ends a target, which starts again under its id and address, perhaps at another version. */
        restartTarget: (index: number, version: string, downMs: number): void => {
            const target = targets[index];
            if (target?.isUp !== true) {
                return;
            }
            Object.assign(target, { isUp: false, isRestarting: true });
            target.runs.forEach(each => each.isOpen && each.onCut());
            target.runs.clear();
            after(downMs, () => startTarget(target, version));
        },
        /** Has a target join that hasn't run. */
        joinTarget: (index: number, version: string): void => {
            const target = targets[index];
            if (target?.isUp === false && !target.isRestarting) {
                startTarget(target, version);
            }
        },
        resetConnections: (index: number): void => {
            const target = targets[index];
            target?.runs.forEach(each => each.isOpen && each.onCut());
            target?.runs.clear();
        },
    };
};
