import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import type { Route } from "medlarlb-types/route";
import type { GatewayCommand } from "../../gatewayCommand.js";
import type { GatewayInput } from "../../gatewayInput.js";
import { createServiceCall } from "./createServiceCall.js";
import type { VirtualAnswer } from "./virtualAnswer.js";
import type { VirtualArrival } from "./virtualArrival.js";
import { createVirtualClock } from "./createVirtualClock.js";
import { createVirtualInstance } from "./createVirtualInstance.js";
import { createVirtualGossip } from "./createVirtualGossip.js";
import { createVirtualTarget } from "./createVirtualTarget.js";
import { describeGroup } from "./describeGroup.js";
import { joinGroup } from "./joinGroup.js";
import type { VirtualServiceOptions } from "./virtualServiceOptions.js";
import type { VirtualServiceInstance } from "./virtualServiceInstance.js";
import type { VirtualRun } from "./virtualRun.js";

/** One-way delay between instances, targets and callers, in ms. */
const DELAY_MS = 2;
/** Time in ms for which an instance has to be undisturbed to be in touch. */
const CONTACT_MS = 3_000;
/** Time in ms between the orders of two planners of a zone. */
const LEASE_GAP_MS = 3_300;
/** Delay in ms until the list shows a target that has started, and until it drops one that has ended. */
const LISTED_AFTER_MS = 100;
const UNLISTED_AFTER_MS = 3_600;

/**
 * Simulates instances before the targets of a plain service, over virtual time. Targets end under certain requests and start
 * again; instances restart, pause, and are cut off from each other. The same seed repeats a run exactly.
 */
export const createVirtualService = (options: VirtualServiceOptions) => {
    const { seed, zones, isCrashing = () => false } = options;
    const generator = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(generator);
    const { now, at, after, run } = createVirtualClock();
    const arrivals: VirtualArrival[] = [];
    const answers: VirtualAnswer[] = [];
    const ends: { atMs: number; contents: string[]; targetId: string }[] = [];
    const contents = new Map<string, string>();
    const arrivedAtMs = new Map<string, number>();
    let sequence = 0;
    const completions: { atMs: number; content: string; inTouch: boolean }[] = [];
    const pauses: { atMs: number; untilMs: number; instance: number; targetId: string }[] = [];
    const leavingAnswers: { atMs: number; instance: number; targetId: string }[] = [];
    const isInTouch = (instance: VirtualServiceInstance): boolean => now() - instance.disturbedAtMs > CONTACT_MS;

    const targets = Array.from({ length: options.targets }, (_, index) => createVirtualTarget({
        index,
        zone: `z${index % zones}`,
        now,
        after,
        isCrashing,
        onEnded: (targetId, runs) => {
            ends.push({ atMs: now(), contents: runs.map(run => run.content), targetId });
            runs.forEach(run => run.onCut());
            after(UNLISTED_AFTER_MS, () => instances.forEach(each => give(each, { kind: "targetGone", targetId: brandAs(targetId) })));
        },
        onStarted: entry => after(LISTED_AFTER_MS, () => instances.forEach(each => give(each, { kind: "target", entry }))),
    }));

    const createInstance = (index: number, boot: number): VirtualServiceInstance => createVirtualInstance(index, boot, zones, random);
    const instances = Array.from({ length: options.instances }, (_, index) => createInstance(index, 0));
    const find = (id: string): VirtualServiceInstance | undefined => instances.find(each => each.settings.instanceId === id);

    const step = (instance: VirtualServiceInstance): void => {
        if (instance.isPaused) {
            return;
        }
        const inputs: GatewayInput[] = [...instance.inputs.splice(0), { kind: "listContact", atMs: now() }];
        instance.decisions.step(now(), inputs).forEach(command => execute(instance, command));
        const nextAtMs = instance.decisions.nextStepAtMs();
        if (Number.isFinite(nextAtMs)) {
            const { boot } = instance;
            const isIdle = (): boolean => instance.boot === boot && instance.inputs.length === 0;
            const isDue = (): boolean => isIdle() && now() >= instance.decisions.nextStepAtMs();
            at(Math.max(now() + 1, nextAtMs), () => isDue() && step(instance));
        }
    };

    const give = (instance: VirtualServiceInstance, ...inputs: GatewayInput[]): void => {
        if (instance.inputs.length === 0) {
            at(now(), () => instance.inputs.length > 0 && step(instance));
        }
        instance.inputs.push(...inputs);
    };

    const deliver = (from: VirtualServiceInstance, to: readonly string[], input: GatewayInput): void => to.forEach(id => {
        const receiver = find(id);
        if (receiver !== undefined && !receiver.isCut && !from.isCut) {
            after(DELAY_MS, () => !receiver.isCut && give(receiver, input));
        }
    });

    const send = (from: VirtualServiceInstance, { callId, attempt, targetId, address }: Extract<GatewayCommand, { kind: "send" }>): void => {
        const target = targets.find(each => each.address === address);
        const content = contents.get(callId) ?? "";
        const { boot } = from;
        const reply = (...inputs: GatewayInput[]): void => after(DELAY_MS, () => from.boot === boot && give(from, ...inputs));
        after(DELAY_MS, () => {
            if (target === undefined || !target.isUp()) {
                reply({ kind: "failed", callId, attempt, ran: "no", cause: "connect", reason: "connect ECONNREFUSED" });
                return;
            }
            if (target.id() !== targetId) {
                reply({ kind: "failed", callId, attempt, ran: "no", cause: "otherTarget", reason: "another target" });
                return;
            }
            const toldAtMs = from.toldAtMs.get(targetId);
            const sentAtMs = arrivedAtMs.get(callId) ?? 0;
            arrivals.push({ atMs: now(), sentAtMs, content, targetId, instance: from.index, inTouch: isInTouch(from), toldAtMs });
            const tellLimit = (): GatewayInput => {
                const limit = target.limit();
                if (limit !== undefined && !from.toldAtMs.has(targetId)) {
                    from.toldAtMs.set(targetId, now() + DELAY_MS);
                }
                return { kind: "limit", targetId, perSecond: limit?.perSecond };
            };
            const tellLeaving = (): void => {
                if (target.leavingSinceMs() !== undefined) {
                    leavingAnswers.push({ atMs: now() + DELAY_MS, instance: from.index, targetId });
                    reply({ kind: "targetLeaving", targetId, source: "answer" });
                }
            };
            const run: VirtualRun = {
                content,
                onCut: () => reply({ kind: "failed", callId, attempt, ran: "unknown", cause: "cut", reason: "the connection ended" }),
                onRefused: pauseMs => {
                    tellLeaving();
                    if (pauseMs !== undefined) {
                        pauses.push({ atMs: now(), untilMs: now() + pauseMs, instance: from.index, targetId });
                        reply({ kind: "pause", targetId, pauseMs });
                    }
                    reply(tellLimit(), { kind: "failed", callId, attempt, ran: "no", cause: "full", reason: "full" });
                },
                onDone: () => {
                    tellLeaving();
                    // An answer to a call that was given up reaches nobody, so that no instance can know of it.
                    if (from.boot === boot && from.decisions.view().calls.has(callId)) {
                        completions.push({ atMs: now(), content, inTouch: isInTouch(from) });
                    }
                    reply(tellLimit(), { kind: "begun", callId, attempt }, { kind: "finished", callId, attempt, status: 200, longestGapMs: 0 });
                },
            };
            target.run(run);
        });
    };

    const execute = (from: VirtualServiceInstance, command: GatewayCommand): void => {
        switch (command.kind) {
            case "send":
                send(from, command);
                break;
            case "answer":
                answers.push({
                    atMs: now(),
                    content: contents.get(command.callId) ?? "",
                    status: command.status,
                    reason: command.reason,
                    instance: from.index,
                    inTouch: isInTouch(from),
                    heldMs: now() - (arrivedAtMs.get(command.callId) ?? now()),
                    retryAfterMs: command.retryAfterMs,
                });
                break;
            case "probe": {
                const { targetId, startedAtMs, address } = command;
                after(DELAY_MS, () => {
                    const state = targets.find(each => each.address === address)?.isUp() === true ? "listening" : "refused";
                    after(DELAY_MS, () => give(from, { kind: "probed", targetId, startedAtMs, state }));
                });
                break;
            }
            case "shareObservations": {
                const { to, reporterZone, observations, byGossip } = command;
                deliver(from, to, { kind: "observations", observations, reporterZone, ageMs: 0 });
                if (byGossip) {
                    from.known.push({ observations, atMs: now() });
                }
                break;
            }
            case "requestPermit":
                deliver(from, [command.to], { kind: "permitWanted", targetId: command.targetId, from: from.settings.instanceId });
                break;
            case "answerPermit":
                deliver(from, [command.to], { kind: "permit", answer: command.answer });
                break;
            case "shareStatus":
                deliver(from, command.to, { kind: "status", status: command.status });
                break;
            case "shareDigest":
                deliver(from, [command.to], { kind: "digest", digest: command.digest });
                break;
            default:
        }
    };

    const gossip = createVirtualGossip({ random, now, after, give, instances: () => instances });
    const planners = new Map(instances.slice(0, zones).map(({ settings }) => [settings.zone, settings.instanceId]));

    /** Gives an instance that has started what the store lists. */
    const introduce = (instance: VirtualServiceInstance): void => {
        const entries = targets.filter(each => each.isUp()).map(each => ({ kind: "target" as const, entry: each.entry() }));
        give(instance, ...entries, describeGroup(instances, instance, planners));
        if (planners.get(instance.settings.zone) === instance.settings.instanceId) {
            give(instance, { kind: "duty", fence: 1 });
        }
    };
    instances.forEach(each => joinGroup(each.decisions, describeGroup(instances, each, planners), now()));
    instances.forEach(introduce);
    instances.forEach(gossip.pullRepeatedly);

    const disturb = (index: number, action: (instance: VirtualServiceInstance) => void): void => {
        const instance = instances[index];
        if (instance !== undefined) {
            instance.disturbedAtMs = now();
            action(instance);
        }
    };

    return {
        random,
        now,
        instances,
        targets,
        arrivals,
        answers,
        ends,
        completions,
        pauses,
        leavingAnswers,
        after,
        /** Has the list show all targets as ready, as their heartbeats do. */
        listTargets: (): void => targets.filter(each => each.isUp())
            .forEach(target => instances.forEach(each => give(each, { kind: "target", entry: target.entry() }))),
        /** Has the list drop a target's entry for a time, which is then written again as it was. */
        lapse: (index: number, durationMs: number): void => {
            const { id, entry } = targets[index] as (typeof targets)[number];
            instances.forEach(each => give(each, { kind: "targetGone", targetId: brandAs(id()) }));
            after(durationMs, () => instances.forEach(each => give(each, { kind: "target", entry: entry() })));
        },
        /** Sends a caller's request to an instance. Requests with equal content have equal fingerprints. */
        sendCall: (index: number, content: string, route: Partial<Route> = {}, sharedParts: readonly string[] = []): void => {
            const instance = instances[index % instances.length];
            if (instance === undefined) {
                return;
            }
            sequence += 1;
            const callId = brandAs<RequestId>(`c${sequence}`);
            contents.set(callId, content);
            arrivedAtMs.set(callId, now());
            give(instance, { kind: "call", metadata: createServiceCall(callId, content, now(), route, sharedParts) });
        },
        /** Kills an instance and starts it again after a time. It has lost all its tables. */
        restart: (index: number, downMs: number): void => disturb(index, instance => {
            Object.assign(instance, { ...createInstance(index, instance.boot + 1), isPaused: true, disturbedAtMs: now() + downMs });
            const { boot } = instance;
            after(downMs, () => {
                if (instance.boot === boot) {
                    instance.isPaused = false;
                    introduce(instance);
                    gossip.pullSoon(instance);
                }
            });
        }),
        pause: (index: number, durationMs: number): void => disturb(index, instance => {
            instance.isPaused = true;
            instance.disturbedAtMs = now() + durationMs;
            const { boot } = instance;
            after(durationMs, () => {
                if (instance.boot === boot) {
                    instance.isPaused = false;
                    step(instance);
                }
            });
        }),
        /** Cuts an instance off from the other instances. Its targets and callers still reach it. */
        cut: (index: number, durationMs: number): void => disturb(index, instance => {
            Object.assign(instance, { isCut: true, disturbedAtMs: now() + durationMs });
            after(durationMs, () => Object.assign(instance, { isCut: false }));
        }),
        /** Takes the lease of a zone's planner, and gives it to another instance of the zone when its orders are past. */
        replacePlanner: (zoneIndex: number): void => {
            const zone = instances[zoneIndex]?.settings.zone ?? instances[0]?.settings.zone;
            const members = instances.filter(each => each.settings.zone === zone);
            const previous = members.find(each => each.settings.instanceId === planners.get(each.settings.zone));
            const next = members[Math.floor(random() * members.length)];
            if (previous === undefined || next === undefined) {
                return;
            }
            give(previous, { kind: "duty", fence: undefined });
            planners.delete(previous.settings.zone);
            after(LEASE_GAP_MS, () => {
                planners.set(next.settings.zone, next.settings.instanceId);
                instances.forEach(introduce);
            });
        },
        /** Advances the virtual time by a number of ms. */
        run,
    };
};
