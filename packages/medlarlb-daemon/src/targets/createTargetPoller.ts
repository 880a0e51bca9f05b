import type { DecisionInput } from "medlarlb-types/decisionInput";
import type { TargetId } from "medlarlb-types/targetId";
import type { TargetReport } from "medlarlb-types/targetReport";
import type { TargetSpec } from "medlarlb-types/targetSpec";
import type { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import type { GossipEntry } from "medlarlb-peers/gossipEntry";
import type { createTargetControl } from "medlarlb-targets/createTargetControl";
import { quantizeLoad } from "./quantizeLoad.js";
import { estimateLoad } from "./estimateLoad.js";
import { choosePoller } from "./choosePoller.js";

interface PollerOptions {
    selfId: string;
    zone: string;
    peers: ReturnType<typeof createPeerGroup>;
    control: ReturnType<typeof createTargetControl>;
    targets: () => Map<string, TargetSpec>;
    push: (input: DecisionInput) => void;
    countPoll: () => void;
}

/** What is spread of a report to all zones. */
interface SharedReport extends Pick<TargetReport, "bootId" | "memoryBytes" | "items" | "leaving" | "fence"> {
    silent: boolean;
    level: number;
}

interface PollState {
    polling: boolean;
    failures: number;
    shared: string;
    load: number;
}

const POLL_MS = 250;
const VOUCH_MS = 500;
const SILENT_AFTER_FAILURES = 3;

/**
 * Creates the part that polls targets. Each target has one poller, which spreads changes only: items and state to all
 * zones at once, the exact load inside the zone, and a coarse load to the other zones.
 */
export const createTargetPoller = (options: PollerOptions) => {
    const { peers } = options;
    const states = new Map<string, PollState>();
    const received = new Map<string, { report: SharedReport; load: number | undefined }>();

    let lastSequence = 0;

    /** Sequence number of the next report for the decisions. Reports that come at the same time differ too. */
    const nextSequence = (): number => {
        lastSequence += 1;
        return lastSequence;
    };

    const stateOf = (targetId: string): PollState => {
        const state = states.get(targetId) ?? { polling: false, failures: 0, shared: "", load: -1 };
        states.set(targetId, state);
        return state;
    };

    const share = (targetId: string, spec: TargetSpec, report: TargetReport | undefined): void => {
        const state = stateOf(targetId);
        const load = (report?.inFlight ?? 0) + (report?.queued ?? 0);
        const value: SharedReport = {
            bootId: report?.bootId ?? "" as never,
            memoryBytes: report?.memoryBytes ?? 0,
            items: report?.items ?? [],
            leaving: report?.leaving ?? false,
            fence: report?.fence ?? 0,
            silent: report === undefined,
            level: quantizeLoad(load, spec.slots),
        };
        const shared = JSON.stringify(value);
        if (shared !== state.shared) {
            state.shared = shared;
            peers.publish({ key: `target/${targetId}`, version: peers.nextVersion(`target/${targetId}`), value }, true);
        }
        if (load !== state.load && report !== undefined) {
            state.load = load;
            peers.publish({ key: `load/${targetId}`, version: peers.nextVersion(`load/${targetId}`), value: load, zone: spec.zone });
        }
    };

    const takeFailure = (targetId: string, spec: TargetSpec, reason: string): void => {
        const state = stateOf(targetId);
        state.failures += 1;
        // Only the poller's word counts: another instance may be cut off from a target that serves.
        const counts = pollerOf(targetId, spec) === options.selfId;
        if (counts && state.failures === SILENT_AFTER_FAILURES) {
            options.push({ kind: "targetSilent", targetId: targetId as TargetId, reason: `polls fail: ${reason}` });
            share(targetId, spec, undefined);
        }
    };

    const poll = async (targetId: string, spec: TargetSpec): Promise<void> => {
        const state = stateOf(targetId);
        if (state.polling) {
            return;
        }
        state.polling = true;
        options.countPoll();
        const requestedAtMs = Date.now();
        const answer = await options.control.poll(spec.address);
        state.polling = false;
        if (answer.isErr) {
            takeFailure(targetId, spec, answer.error);
            return;
        }
        state.failures = 0;
        const report = { ...answer.value, targetId: targetId as TargetId, sequence: nextSequence() };
        options.push({ kind: "report", report, requestedAtMs });
        if (pollerOf(targetId, spec) === options.selfId) {
            share(targetId, spec, answer.value);
        }
    };

    const pollerOf = (targetId: string, spec: TargetSpec): string | undefined => choosePoller(targetId, spec.zone, peers.alive());

    const pollOwn = (): void => {
        for (const [targetId, spec] of options.targets()) {
            if (pollerOf(targetId, spec) === options.selfId) {
                void poll(targetId, spec);
            }
            else {
                // Another poller spreads meanwhile, so everything counts as new when this instance polls again.
                states.delete(targetId);
            }
        }
    };

    const vouch = (): void => {
        const targetIds = [...options.targets()]
            .filter(([targetId, spec]) => {
                const poller = pollerOf(targetId, spec);
                return poller !== options.selfId && received.get(targetId)?.report.silent === false;
            })
            .map(([targetId]) => targetId as TargetId);
        options.push({ kind: "reportsCurrent", targetIds });
    };

    const pushReceived = (targetId: string): void => {
        const found = received.get(targetId);
        const spec = options.targets().get(targetId);
        if (found === undefined || spec === undefined) {
            return;
        }
        if (found.report.silent) {
            options.push({ kind: "targetSilent", targetId: targetId as TargetId, reason: "its poller can't reach it" });
            return;
        }
        const inFlight = found.load ?? estimateLoad(found.report.level, spec.slots);
        const report: TargetReport = { ...found.report, targetId: targetId as TargetId, sequence: nextSequence(), inFlight, queued: 0 };
        options.push({ kind: "report", report, requestedAtMs: 0 });
    };

    const timers = [setInterval(pollOwn, POLL_MS), setInterval(vouch, VOUCH_MS)];
    return {
        /** Polls one target now, whoever its poller is. */
        pollNow: (targetId: string): void => {
            const spec = options.targets().get(targetId);
            if (spec !== undefined) {
                void poll(targetId, spec);
            }
        },
        /** Takes over a rumour of a report. Returns whether it was one. */
        applyGossip: (entry: GossipEntry): boolean => {
            const [kind, targetId] = entry.key.split("/");
            if (targetId === undefined || (kind !== "target" && kind !== "load")) {
                return false;
            }
            const known = received.get(targetId);
            if (kind === "target") {
                received.set(targetId, { report: entry.value as SharedReport, load: known?.load });
            }
            else if (known !== undefined) {
                known.load = entry.value as number;
            }
            pushReceived(targetId);
            return true;
        },
        /** Pushes again what was received before a target was configured. */
        replay: (): void => [...received.keys()].forEach(pushReceived),
        stop: (): void => timers.forEach(timer => clearInterval(timer)),
    };
};
