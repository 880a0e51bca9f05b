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

/** Part of a target's report that is published to all zones. */
interface SharedReport extends Pick<TargetReport, "bootId" | "memoryBytes" | "items" | "leaving" | "fence"> {
    silent: boolean;
    /** Coarse level of load, as `quantizeLoad` returns it. */
    level: number;
}

interface PollState {
    isPolling: boolean;
    consecutiveFailures: number;
    /** JSON of the last published report. */
    publishedReport: string;
    /** Last published load, or -1. */
    load: number;
}

const POLL_INTERVAL_MS = 250;
const CONFIRM_INTERVAL_MS = 500;
const SILENT_AFTER_FAILURES = 3;

/**
 * Creates the poller of targets. Each target is polled by one instance, which publishes changes only: items and state to
 * all zones immediately, the exact load within the target's zone, and a coarse load level to the other zones.
 */
export const createTargetPoller = (options: PollerOptions) => {
    const { peers } = options;
    const states = new Map<string, PollState>();
    const received = new Map<string, { report: SharedReport; load: number | undefined }>();

    let lastSequence = 0;

    /** Returns the sequence number of the next report for the decisions. It is unique even among simultaneous reports. */
    const nextSequence = (): number => {
        lastSequence += 1;
        return lastSequence;
    };

    const getState = (targetId: string): PollState => {
        const state = states.get(targetId) ?? { isPolling: false, consecutiveFailures: 0, publishedReport: "", load: -1 };
        states.set(targetId, state);
        return state;
    };

    const publishReport = (targetId: string, spec: TargetSpec, report: TargetReport | undefined): void => {
        const state = getState(targetId);
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
        const serialized = JSON.stringify(value);
        if (serialized !== state.publishedReport) {
            state.publishedReport = serialized;
            peers.publish({ key: `target/${targetId}`, version: peers.nextVersion(`target/${targetId}`), value }, true);
        }
        if (load !== state.load && report !== undefined) {
            state.load = load;
            peers.publish({ key: `load/${targetId}`, version: peers.nextVersion(`load/${targetId}`), value: load, zone: spec.zone });
        }
    };

    const handlePollFailure = (targetId: string, spec: TargetSpec, reason: string): void => {
        const state = getState(targetId);
        state.consecutiveFailures += 1;
        // Only failures of the target's poller count: another instance may be unable to reach a target that serves.
        const isPoller = pollerOf(targetId, spec) === options.selfId;
        if (isPoller && state.consecutiveFailures === SILENT_AFTER_FAILURES) {
            options.push({ kind: "targetSilent", targetId: targetId as TargetId, reason: `polls fail: ${reason}` });
            publishReport(targetId, spec, undefined);
        }
    };

    const poll = async (targetId: string, spec: TargetSpec): Promise<void> => {
        const state = getState(targetId);
        if (state.isPolling) {
            return;
        }
        state.isPolling = true;
        options.countPoll();
        const requestedAtMs = Date.now();
        const answer = await options.control.poll(spec.address);
        state.isPolling = false;
        if (answer.isErr) {
            handlePollFailure(targetId, spec, answer.error);
            return;
        }
        state.consecutiveFailures = 0;
        const report = { ...answer.value, targetId: targetId as TargetId, sequence: nextSequence() };
        options.push({ kind: "report", report, requestedAtMs });
        if (pollerOf(targetId, spec) === options.selfId) {
            publishReport(targetId, spec, answer.value);
        }
    };

    const pollerOf = (targetId: string, spec: TargetSpec): string | undefined => choosePoller(targetId, spec.zone, peers.alive());

    const pollOwnTargets = (): void => {
        for (const [targetId, spec] of options.targets()) {
            if (pollerOf(targetId, spec) === options.selfId) {
                void poll(targetId, spec);
            }
            else {
                // Another instance publishes meanwhile, so everything is published again when this one polls next.
                states.delete(targetId);
            }
        }
    };

    /**
     * Confirms the reports of targets that other instances poll. Their pollers publish changes only, so a report stays
     * current until a newer one arrives or the target is silent.
     */
    const confirmReports = (): void => {
        const targetIds = [...options.targets()]
            .filter(([targetId, spec]) => {
                const poller = pollerOf(targetId, spec);
                return poller !== options.selfId && received.get(targetId)?.report.silent === false;
            })
            .map(([targetId]) => targetId as TargetId);
        options.push({ kind: "reportsCurrent", targetIds });
    };

    const pushReceivedReport = (targetId: string): void => {
        const latest = received.get(targetId);
        const spec = options.targets().get(targetId);
        if (latest === undefined || spec === undefined) {
            return;
        }
        if (latest.report.silent) {
            options.push({ kind: "targetSilent", targetId: targetId as TargetId, reason: "its poller can't reach it" });
            return;
        }
        const inFlight = latest.load ?? estimateLoad(latest.report.level, spec.slots);
        const report: TargetReport = { ...latest.report, targetId: targetId as TargetId, sequence: nextSequence(), inFlight, queued: 0 };
        options.push({ kind: "report", report, requestedAtMs: 0 });
    };

    const timers = [setInterval(pollOwnTargets, POLL_INTERVAL_MS), setInterval(confirmReports, CONFIRM_INTERVAL_MS)];
    return {
        /** Polls one target immediately, even if another instance is its poller. */
        pollNow: (targetId: string): void => {
            const spec = options.targets().get(targetId);
            if (spec !== undefined) {
                void poll(targetId, spec);
            }
        },
        /** Applies a gossip entry about a target's report or load. Returns whether the entry was one. */
        applyGossip: (entry: GossipEntry): boolean => {
            const [kind, targetId] = entry.key.split("/");
            if (targetId === undefined || (kind !== "target" && kind !== "load")) {
                return false;
            }
            const previous = received.get(targetId);
            if (kind === "target") {
                received.set(targetId, { report: entry.value as SharedReport, load: previous?.load });
            }
            else if (previous !== undefined) {
                previous.load = entry.value as number;
            }
            pushReceivedReport(targetId);
            return true;
        },
        /** Pushes all received reports again, because some may have arrived before their target was configured. */
        replay: (): void => [...received.keys()].forEach(pushReceivedReport),
        stop: (): void => timers.forEach(timer => clearInterval(timer)),
    };
};
