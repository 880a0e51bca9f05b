import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import { createGatewayDecisions } from "../../createGatewayDecisions.js";
import type { GatewayCommand } from "../../gatewayCommand.js";
import type { GatewayInput } from "../../gatewayInput.js";
import { createSettings } from "./createSettings.js";
import { createVirtualClock } from "./createVirtualClock.js";

interface VirtualCallersOptions {
    instances: number;
    zones: number;
    random: () => number;
    config?: RoutingConfig;
    entries: readonly TargetEntry[];
    /** Draws the delay in ms of a message between two instances, or undefined if it is lost. */
    drawMessageDelayMs: () => number | undefined;
    /** Carries out a command that isn't a message between instances. */
    execute: (instance: number, command: GatewayCommand) => void;
}

/** Simulates the decisions of several instances over virtual time, and the statuses that they send each other. */
export const createVirtualCallers = (options: VirtualCallersOptions) => {
    const { random, zones } = options;
    const clock = createVirtualClock();
    const { now, at, after } = clock;
    const instances = Array.from({ length: options.instances }, (_, index) => {
        const settings = { ...createSettings(`i${index}`, `z${index % zones}`), engineMemoryRatio: 1 };
        const inputs: GatewayInput[] = [];
        const decisions = createGatewayDecisions(settings, random);
        return { index, settings, decisions, inputs, isPaused: false, nextStepAtMs: Number.POSITIVE_INFINITY };
    });
    type Instance = (typeof instances)[number];

    const step = (instance: Instance): void => {
        if (instance.isPaused) {
            return;
        }
        const inputs: GatewayInput[] = [...instance.inputs.splice(0), { kind: "listContact", atMs: now() }];
        instance.decisions.step(now(), inputs).forEach(command => execute(instance, command));
        planStep(instance, Math.max(now() + 1, instance.decisions.nextStepAtMs()));
    };

    /** Plans the next step without inputs. An earlier plan for a later time is dropped. */
    const planStep = (instance: Instance, atMs: number): void => {
        instance.nextStepAtMs = atMs;
        if (Number.isFinite(atMs)) {
            at(atMs, () => instance.nextStepAtMs === atMs && step(instance));
        }
    };

    const give = (index: number, ...inputs: GatewayInput[]): void => {
        const instance = instances[index];
        if (instance === undefined) {
            return;
        }
        if (instance.inputs.length === 0) {
            at(now(), () => instance.inputs.length > 0 && step(instance));
        }
        instance.inputs.push(...inputs);
    };

    const deliver = (to: readonly string[], input: GatewayInput): void => to.forEach(id => {
        const delayMs = options.drawMessageDelayMs();
        const receiver = instances.find(each => each.settings.instanceId === id);
        if (delayMs !== undefined && receiver !== undefined) {
            after(delayMs, () => give(receiver.index, input));
        }
    });

    const execute = (from: Instance, command: GatewayCommand): void => {
        if (command.kind === "shareStatus") {
            deliver(command.to, { kind: "status", status: command.status });
        }
        else if (command.kind === "shareDigest") {
            deliver([command.to], { kind: "digest", digest: command.digest });
        }
        else {
            options.execute(from.index, command);
        }
    };

    const planners = new Map(instances.slice(0, zones).map(({ settings }) => [settings.zone, settings.instanceId]));
    instances.forEach(instance => give(
        instance.index,
        ...(options.config === undefined ? [] : [{ kind: "config" as const, config: options.config }]),
        ...options.entries.map(entry => ({ kind: "target" as const, entry })),
        {
            kind: "instances",
            count: instances.length,
            listed: instances.map(({ settings }) => settings.instanceId),
            planners,
            members: instances.filter(each => each !== instance).map(({ settings }) => ({ id: settings.instanceId, zone: settings.zone })),
            zoneOrder: instances.filter(each => each.settings.zone === instance.settings.zone).map(({ settings }) => settings.instanceId),
        },
        ...(instance.index < zones ? [{ kind: "duty" as const, fence: instance.index + 1 }] : []),
    ));

    return {
        ...clock,
        instances,
        give,
        /** Pauses the process of an instance. What reaches it meanwhile is handled afterwards. */
        pause: (index: number, durationMs: number): void => {
            const instance = instances[index];
            if (instance === undefined || instance.isPaused) {
                return;
            }
            instance.isPaused = true;
            after(durationMs, () => {
                instance.isPaused = false;
                step(instance);
            });
        },
    };
};
