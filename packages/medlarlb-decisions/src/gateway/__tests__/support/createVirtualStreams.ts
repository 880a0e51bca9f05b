import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import type { GatewayCommand } from "../../gatewayCommand.js";
import type { GatewayInput } from "../../gatewayInput.js";
import { createServiceCall } from "./createServiceCall.js";
import { createVirtualClock } from "./createVirtualClock.js";
import { createVirtualStore } from "./createVirtualStore.js";
import { createVirtualStreamTargets } from "./createVirtualStreamTargets.js";
import { createVirtualInstance } from "./createVirtualInstance.js";
import { describeGroup } from "./describeGroup.js";
import { joinGroup } from "./joinGroup.js";
import type { VirtualServiceInstance } from "./virtualServiceInstance.js";
import type { VirtualStream } from "./virtualStream.js";
import type { VirtualStreamCall } from "./virtualStreamCall.js";
import type { VirtualStreamRun } from "./virtualStreamRun.js";

interface StreamsOptions {
    seed: number;
    instances: number;
    targets: number;
    zones: number;
    /** Version of each target at first; of two versions by default. Undefined for one that joins later. */
    versionOf?: (index: number) => string | undefined;
    /** Whether instances read the targets' entries from a store, which they may lose; else all hear of each within a time. */
    hasStore?: boolean;
}

const DELAY_MS = 2;
const CONTACT_MS = 3_000;
const EVENTS = 12;
const EVENT_MS = 40;
const MAX_ATTEMPTS = 4;
/** Largest delay in ms of a message between instances, and of an entry on its way to an instance. */
const MAX_MESSAGE_MS = 120;
const MAX_ENTRY_MS = 500;
/** Part of the callers that name no beginning of the stream that they take up. */
const UNNAMED_RATIO = 0.2;
/** Time in ms for which a target that has started again has no model, and refuses. */
const LOADING_MS = 650;
const ROUTE = { kind: "streaming", resumable: true, maxAttempts: 3, timeoutMs: 8_000, latencyTargetMs: 800 } as const;

/**
 * Simulates callers of streams that instances pass on from targets of several software versions, over virtual time: targets start
 * again at other versions, instances restart, pause and are cut off, messages are late, and callers take streams up anywhere.
 */
export const createVirtualStreams = (options: StreamsOptions) => {
    const { seed, instances: instanceCount, targets: targetCount, zones, hasStore = false } = options;
    const { versionOf = (index: number): string => (index % 2 === 0 ? "v1" : "v2") } = options;
    const generator = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(generator);
    const travelMs = (): number => DELAY_MS + random() ** 4 * MAX_MESSAGE_MS;
    const pick = (count: number): number => Math.floor(random() * count);
    const { now, at, after, run } = createVirtualClock();
    const streams: VirtualStream[] = [];
    const openCalls = new Map<string, VirtualStreamCall>();
    let sequence = 0;

    const { targets, entryOf, startRun, restartTarget, joinTarget, resetConnections } = createVirtualStreamTargets({
        ...{ count: targetCount, zones, versionOf, eventMs: EVENT_MS, random, now, after },
        onStarted: target => publishEntry(target),
    });
    type Target = (typeof targets)[number];

    const createInstance = (index: number, boot: number): VirtualServiceInstance => createVirtualInstance(index, boot, zones, random);
    const instances = Array.from({ length: instanceCount }, (_, index) => createInstance(index, 0));
    /** What a paused instance does when it goes on, in order. */
    const deferred = new Map<number, (() => void)[]>();

    const step = (instance: VirtualServiceInstance): void => {
        if (instance.isPaused) {
            return;
        }
        // With a store, the messages of others always state that the list is as new, however long they were on their way.
        const inputs: GatewayInput[] = [...instance.inputs.splice(0), { kind: "listContact", atMs: now(), isProved: !hasStore }];
        instance.decisions.step(now(), inputs).forEach(command => execute(instance, command));
        const nextAtMs = instance.decisions.nextStepAtMs();
        const { boot } = instance;
        if (Number.isFinite(nextAtMs)) {
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

    /** Has an instance handle what arrives at it, or, while it is paused, when it goes on. */
    const reach = (instance: VirtualServiceInstance, boot: number, action: () => void): void => {
        if (instance.boot === boot && instance.isPaused) {
            deferred.set(instance.index, [...deferred.get(instance.index) ?? [], () => instance.boot === boot && action()]);
        }
        else if (instance.boot === boot) {
            action();
        }
    };

    /** Sends a message between instances. Those of one sender to one receiver may overtake each other. */
    const deliver = (from: VirtualServiceInstance, to: readonly string[], input: GatewayInput): void => to.forEach(id => {
        const receiver = instances.find(each => each.settings.instanceId === id);
        if (receiver !== undefined && !receiver.isCut && !from.isCut) {
            const { boot } = receiver;
            after(travelMs(), () => !receiver.isCut && reach(receiver, boot, () => give(receiver, input)));
        }
    });

    const tellEntry = (instance: VirtualServiceInstance, target: Target): void => {
        const entry = entryOf(target);
        const { boot } = instance;
        after(random() * MAX_ENTRY_MS, () => target.starts === entry.startedAtMs
            && reach(instance, boot, () => give(instance, { kind: "target", entry })));
    };

    const store = createVirtualStore({ entries: targets.filter(each => each.isUp).map(entryOf), now, after, travelMs, reach, give });

    const publishEntry = (target: Target): void => {
        if (!hasStore) {
            instances.forEach(each => tellEntry(each, target));
            return;
        }
        const entry = entryOf(target);
        after(random() * MAX_ENTRY_MS, () => target.starts === entry.startedAtMs && store.write(entry));
    };

    const send = (from: VirtualServiceInstance, { callId, attempt, targetId }: Extract<GatewayCommand, { kind: "send" }>): void => {
        const call = openCalls.get(callId);
        const target = targets.find(each => `t${each.index}` === targetId);
        if (call === undefined || target === undefined) {
            return;
        }
        call.latest = attempt;
        const { boot } = from;
        const fail = (ran: "no" | "unknown", cause: "connect" | "full" | "cut"): void => after(DELAY_MS, () =>
            reach(from, boot, () => give(from, { kind: "failed", callId, attempt, ran, cause, reason: cause })));
        after(DELAY_MS, () => {
            if (!target.isUp || now() - target.upSinceMs < LOADING_MS) {
                fail("no", target.isUp ? "full" : "connect");
                return;
            }
            const { stream } = call;
            const isCurrent = (): boolean => openCalls.get(callId) === call && call.latest === attempt;
            const each: VirtualStreamRun = {
                isOpen: true,
                onCut: () => fail("unknown", "cut"),
                onEvent: (version, index) => after(DELAY_MS, () => reach(from, boot, () => {
                    if (!isCurrent()) {
                        each.isOpen = false;
                        return;
                    }
                    if (!call.attempt.hasBegun || index === stream.versions.length) {
                        give(from, { kind: "begun", callId, attempt });
                    }
                    call.attempt.hasBegun = true;
                    stream.firstId ??= callId;
                    stream.versions.push(version);
                    if (stream.versions.length >= EVENTS) {
                        each.isOpen = false;
                        openCalls.delete(callId);
                        give(from, { kind: "finished", callId, attempt, status: 200, longestGapMs: 0 });
                    }
                })),
            };
            startRun(target, stream.versions.length, each);
        });
    };

    const execute = (from: VirtualServiceInstance, command: GatewayCommand): void => {
        switch (command.kind) {
            case "send":
                send(from, command);
                break;
            case "answer": {
                const call = openCalls.get(command.callId);
                openCalls.delete(command.callId);
                call?.end(call.attempt.hasBegun ? undefined : command.reason);
                break;
            }
            case "shareOrigins":
                deliver(from, [command.to], { kind: "streamOrigins", origins: command.origins });
                break;
            case "askOrigin":
                deliver(from, command.to, { kind: "originWanted", from: from.settings.instanceId, requestId: command.requestId });
                break;
            case "confirmList":
                if (hasStore) {
                    store.read(from);
                }
                break;
            default:
        }
    };

    const isOwed = (stream: VirtualStream, instance: VirtualServiceInstance): boolean => {
        const served = targets.filter(each => each.isUp && each.version === stream.versions[0] && now() - each.upSinceMs > CONTACT_MS);
        return stream.versions.length > 0 && now() - instance.disturbedAtMs > CONTACT_MS && served.length >= 2;
    };

    /** Has a caller send an attempt to any instance that runs: to begin a stream, or to take it up. */
    const attemptStream = (stream: VirtualStream): void => {
        const instance = instances[pick(instances.length)];
        if (instance === undefined || stream.attempts.length >= MAX_ATTEMPTS) {
            return;
        }
        sequence += 1;
        const callId = brandAs<RequestId>(`c${sequence}`);
        const attempt = { instance: instance.index, atMs: now(), isOwed: isOwed(stream, instance), hasBegun: false };
        stream.attempts.push(attempt);
        const again = (): void => after(random() < 0.5 ? 2 * DELAY_MS : random() * 1_500, () => attemptStream(stream));
        const end = (refusal: string | undefined): void => {
            if (refusal === undefined) {
                again();
            }
            else {
                stream.refusals.push(refusal);
            }
        };
        openCalls.set(callId, { stream, attempt, latest: 0, end });
        const isUnnamed = hasStore && random() < UNNAMED_RATIO;
        const resumedStream = stream.firstId === undefined ? undefined : { requestId: isUnnamed ? undefined : stream.firstId };
        const { boot } = instance;
        after(DELAY_MS, () => reach(instance, boot, () =>
            give(instance, { kind: "call", metadata: { ...createServiceCall(callId, callId, now(), ROUTE), resumedStream } })));
        if (random() < 0.4) {
            after(random() * EVENTS * EVENT_MS, () => leaveCall(callId, instance, boot));
        }
    };

    /** Has a caller close its connection in the middle of a stream, and take it up elsewhere. */
    const leaveCall = (callId: RequestId, instance: VirtualServiceInstance, boot: number): void => {
        const call = openCalls.get(callId);
        if (call?.attempt.hasBegun === true) {
            openCalls.delete(callId);
            after(DELAY_MS, () => reach(instance, boot, () => give(instance, { kind: "callerLeft", callId })));
            call.end(undefined);
        }
    };

    const introduce = (instance: VirtualServiceInstance): void => {
        if (hasStore) {
            store.begin(instance);
            give(instance, describeGroup(instances, instance, new Map()));
            return;
        }
        give(instance, ...targets.filter(each => each.isUp).map(each => ({ kind: "target" as const, entry: entryOf(each) })), describeGroup(instances, instance, new Map()));
    };
    instances.forEach(each => joinGroup(each.decisions, describeGroup(instances, each, new Map()), now()));
    instances.forEach(introduce);
    instances.forEach(each => hasStore && store.readRegularly(each));

    const disturb = (index: number, action: (instance: VirtualServiceInstance) => void): void => {
        const instance = instances[index];
        if (instance !== undefined && !instance.isPaused) {
            action(instance);
        }
    };

    return {
        random,
        now,
        streams,
        instances,
        targets,
        run,
        begin: (): void => {
            const stream: VirtualStream = { firstId: undefined, versions: [], attempts: [], refusals: [] };
            streams.push(stream);
            attemptStream(stream);
        },
        restartTarget,
        joinTarget,
        resetConnections,
        restart: (index: number, downMs: number): void => disturb(index, instance => {
            const broken = [...openCalls].filter(([, { attempt }]) => attempt.instance === index);
            Object.assign(instance, { ...createInstance(index, instance.boot + 1), isPaused: true, disturbedAtMs: now() + downMs });
            deferred.delete(index);
            broken.forEach(([callId, call]) => {
                openCalls.delete(callId);
                call.end(undefined);
            });
            const { boot } = instance;
            after(downMs, () => {
                if (instance.boot === boot) {
                    instance.isPaused = false;
                    deferred.delete(index);
                    introduce(instance);
                }
            });
        }),
        pause: (index: number, durationMs: number): void => disturb(index, instance => {
            Object.assign(instance, { isPaused: true, disturbedAtMs: now() + durationMs });
            const { boot } = instance;
            after(durationMs, () => {
                if (instance.boot === boot) {
                    instance.isPaused = false;
                    (deferred.get(index) ?? []).forEach(action => action());
                    deferred.delete(index);
                    step(instance);
                }
            });
        }),
        /** Cuts an instance off from the store. */
        cutStore: (index: number, durationMs: number): void => disturb(index, instance => {
            instance.disturbedAtMs = Math.max(instance.disturbedAtMs, now() + durationMs);
            store.cut(index, durationMs);
        }),
        cut: (index: number, durationMs: number): void => disturb(index, instance => {
            Object.assign(instance, { isCut: true, disturbedAtMs: now() + durationMs });
            after(durationMs, () => Object.assign(instance, { isCut: false }));
        }),
    };
};
