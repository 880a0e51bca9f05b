import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { GatewayCommand } from "../../gatewayCommand.js";
import type { GatewayInput } from "../../gatewayInput.js";
import { createContentionTarget } from "./createContentionTarget.js";
import { createServiceCall } from "./createServiceCall.js";
import { createVirtualClock } from "./createVirtualClock.js";
import { createVirtualInstance } from "./createVirtualInstance.js";
import { describeGroup } from "./describeGroup.js";
import { joinGroup } from "./joinGroup.js";
import type { VirtualContentionOptions } from "./virtualContentionOptions.js";
import type { VirtualContentionOutcome } from "./virtualContentionOutcome.js";
import type { VirtualServiceInstance } from "./virtualServiceInstance.js";

/** One-way delay between instances, targets and callers, in ms. */
const DELAY_MS = 2;
/** Time in ms until the others no longer count an instance that is gone as a member. */
const MEMBER_GONE_AFTER_MS = 1_000;

/**
 * Simulates instances whose callers compete for the places of a plain service, over virtual time. Targets report their load with
 * their answers. The same seed repeats a run exactly.
 */
export const createVirtualContention = (options: VirtualContentionOptions) => {
    const { seed, zones, routes, workspaces = [], messageDelayMs = DELAY_MS, isConfigured = true } = options;
    const generator = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(generator);
    const { now, at, after, run } = createVirtualClock();
    const outcomes = new Map<RequestId, VirtualContentionOutcome>();
    const statuses: { atMs: number; command: GatewayCommand }[] = [];
    const commands: { atMs: number; instance: number; command: GatewayCommand }[] = [];
    let sequence = 0;
    const targets = Array.from({ length: options.targets }, (_, index) => createContentionTarget({
        index,
        zone: `z${index % zones}`,
        slots: options.slots,
        workMs: options.workMs,
        random,
        now,
        after,
    }));
    const config: RoutingConfig = {
        version: 1,
        routes,
        services: new Map([["app", { name: "app", healthPath: "/health", maxConnections: 300, engine: undefined }]]),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        workspaces: workspaces.length === 0 ? undefined : new Map(workspaces.map(each => [each.name, each])),
    };
    const instances = Array.from({ length: options.instances }, (_, index) => createVirtualInstance(index, 0, zones, random));
    const live = (): VirtualServiceInstance[] => instances.filter(each => each.boot === 0);

    const step = (instance: VirtualServiceInstance): void => {
        if (instance.isPaused || instance.boot !== 0) {
            return;
        }
        const inputs: GatewayInput[] = [...instance.inputs.splice(0), { kind: "listContact", atMs: now() }];
        instance.decisions.step(now(), inputs).forEach(command => execute(instance, command));
        const nextAtMs = instance.decisions.nextStepAtMs();
        if (Number.isFinite(nextAtMs)) {
            const isDue = (): boolean => instance.inputs.length === 0 && now() >= instance.decisions.nextStepAtMs();
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
        const receiver = live().find(each => each.settings.instanceId === id);
        if (receiver !== undefined && !receiver.isCut && !from.isCut) {
            after(messageDelayMs, () => !receiver.isCut && give(receiver, input));
        }
    });
    const send = (from: VirtualServiceInstance, { callId, attempt, targetId }: Extract<GatewayCommand, { kind: "send" }>): void => {
        const target = targets.find(each => each.entry.targetId === targetId);
        const outcome = outcomes.get(callId);
        if (target === undefined || outcome === undefined) {
            return;
        }
        outcome.attempts += 1;
        const reply = (...inputs: GatewayInput[]): void => {
            const load: GatewayInput = { kind: "load", targetId, ...target.load() };
            after(DELAY_MS, () => give(from, load, ...inputs));
        };
        const onDone = (): void => {
            reply({ kind: "begun", callId, attempt }, { kind: "finished", callId, attempt, status: 200, longestGapMs: 0 });
            const isAwaited = from.boot === 0 && outcome.status === 0;
            if (isAwaited) {
                Object.assign(outcome, { status: 200, tookMs: now() + 2 * DELAY_MS - outcome.arrivedAtMs });
            }
        };
        after(DELAY_MS, () => {
            if (!target.run(onDone)) {
                reply({ kind: "failed", callId, attempt, ran: "no", cause: "full", reason: "full" });
            }
        });
    };
    const execute = (from: VirtualServiceInstance, command: GatewayCommand): void => {
        commands.push({ atMs: now(), instance: from.index, command });
        switch (command.kind) {
            case "send":
                send(from, command);
                break;
            case "answer": {
                const outcome = outcomes.get(command.callId);
                if (outcome?.status === 0) {
                    const { status, retryAfterMs } = command;
                    Object.assign(outcome, { status, retryAfterMs, tookMs: now() - outcome.arrivedAtMs });
                }
                break;
            }
            case "shareStatus":
                statuses.push({ atMs: now(), command });
                deliver(from, command.to, { kind: "status", status: command.status });
                break;
            case "shareDigest":
                statuses.push({ atMs: now(), command });
                deliver(from, [command.to], { kind: "digest", digest: command.digest });
                break;
            default:
        }
    };

    const planners = new Map(instances.slice(0, zones).map(({ settings }) => [settings.zone, settings.instanceId]));
    const introduce = (instance: VirtualServiceInstance): void => {
        give(instance, ...(isConfigured ? [{ kind: "config" as const, config }] : []));
        give(instance, ...targets.map(({ entry }) => ({ kind: "target" as const, entry })));
        give(instance, describeGroup(live(), instance, planners));
        if (planners.get(instance.settings.zone) === instance.settings.instanceId) {
            give(instance, { kind: "duty", fence: 1 });
        }
    };
    const describeAgain = (): void => live().forEach(each => give(each, describeGroup(live(), each, planners)));
    instances.forEach(each => joinGroup(each.decisions, describeGroup(instances, each, planners), now()));
    instances.forEach(introduce);

    return {
        random,
        now,
        after,
        run,
        instances,
        targets,
        commands,
        statuses,
        live,
        outcomes: (): VirtualContentionOutcome[] => [...outcomes.values()],
        busyMs: (): number => targets.reduce((sum, each) => sum + each.busyMs(), 0),
        /** Sends a caller's request on a route to an instance. */
        sendCall: (index: number, route: string, workspace?: string): void => {
            const instance = instances[index];
            const found = routes.find(each => each.name === route);
            if (instance === undefined || found === undefined) {
                return;
            }
            sequence += 1;
            const callId = brandAs<RequestId>(`c${sequence}`);
            const { latencyTargetMs } = found;
            const arrivedAtMs = now();
            outcomes.set(callId, {
                route,
                workspace,
                instance: index,
                arrivedAtMs,
                latencyTargetMs,
                status: 0,
                tookMs: 0,
                retryAfterMs: undefined,
                attempts: 0,
            });
            const metadata = createServiceCall(callId, callId, arrivedAtMs, found);
            give(instance, { kind: "call", metadata: { ...metadata, workspace: workspaces.find(each => each.name === workspace) } });
        },
        /** Ends an instance's process. The others notice it after a time. */
        kill: (index: number): void => {
            Object.assign(instances[index] as VirtualServiceInstance, { boot: 1 });
            after(MEMBER_GONE_AFTER_MS, describeAgain);
        },
        /** Adds an instance to the group. */
        add: (): void => {
            const instance = createVirtualInstance(instances.length, 0, zones, random);
            instances.push(instance);
            introduce(instance);
            describeAgain();
        },
        pause: (index: number, durationMs: number): void => {
            const instance = instances[index] as VirtualServiceInstance;
            instance.isPaused = true;
            after(durationMs, () => {
                instance.isPaused = false;
                step(instance);
            });
        },
        /** Cuts an instance off from the other instances. Its targets and callers still reach it. */
        cut: (index: number, durationMs: number): void => {
            const instance = instances[index] as VirtualServiceInstance;
            instance.isCut = true;
            after(durationMs, () => Object.assign(instance, { isCut: false }));
        },
    };
};
