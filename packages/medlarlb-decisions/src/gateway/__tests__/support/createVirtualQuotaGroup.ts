import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { Workspace } from "medlarlb-types/workspace";
import { createGatewayDecisions } from "../../createGatewayDecisions.js";
import type { GatewayCommand } from "../../gatewayCommand.js";
import type { GatewayInput } from "../../gatewayInput.js";
import type { GatewaySettings } from "../../gatewaySettings.js";
import { canReach } from "./canReach.js";
import { countQuotaBytes } from "./countQuotaBytes.js";
import { createQuotaCalls } from "./createQuotaCalls.js";
import { createQuotaInstance } from "./createQuotaInstance.js";
import { createSettings } from "./createSettings.js";
import { createVirtualClock } from "./createVirtualClock.js";
import { createVirtualRegistry } from "./createVirtualRegistry.js";
import { describeQuotaGroup } from "./describeQuotaGroup.js";
import { disturbQuotaGroup } from "./disturbQuotaGroup.js";
import { endlessTarget } from "./endlessTarget.js";
import type { VirtualQuotaInstance } from "./virtualQuotaInstance.js";

/** One-way delay between instances in ms, and the longest addition to it. */
const DELAY_MS = 1;
const MAX_JITTER_MS = 2;
const ANSWER_MS = 10;
/** Interval in ms at which an instance reads the store, and the greatest age of what it reads. */
const READ_MS = 500;
const MAX_CONTACT_AGE_MS = 400;
const RENEWAL_MS = 10_000;
/** Validity in ms of a registration, and the age from which an entry counts as known to all, as in `createRegistration`. */
const VALID_MS = 22_000;
const KNOWN_MS = 15_000;
/** Time in ms after which an instance knows that another one doesn't respond, or that it responds again. */
const DETECTION_MS = 2_000;
interface QuotaGroupOptions {
    seed: number;
    instances: number;
    zones: number;
    workspaces: readonly Workspace[];
    settings?: Partial<GatewaySettings>;
    /** Returns the length in bytes of a message between instances, if bytes are counted. */
    countBytes?: (message: object) => number;
    /** Whether the instances are new to the list instead of having been its members before. */
    isNew?: boolean;
}

/**
 * Simulates instances that serve workspaces with quotas before one target that takes any number of requests, over virtual time.
 * They register in a store and discover each other there. The same seed repeats a run exactly.
 */
export const createVirtualQuotaGroup = (options: QuotaGroupOptions) => {
    const { zones, countBytes } = options;
    const generator = xoroshiro128plus(options.seed);
    const random = (): number => uniformFloat64(generator);
    const { now, at, after, run } = createVirtualClock();
    const registry = createVirtualRegistry(now);
    const listedSinceMs = new Map<string, number>();
    const instances: VirtualQuotaInstance[] = [];
    const byId = new Map<string, VirtualQuotaInstance>();
    const calls = createQuotaCalls(now, options.workspaces.map(each => each.name));
    /** Configurations in the order of their versions, with the latest time at which an instance used each. */
    const configs: { workspaces: Map<string, Workspace>; lastUsedAtMs: number }[]
        = [{ workspaces: new Map(options.workspaces.map(each => [each.name, each])), lastUsedAtMs: Number.POSITIVE_INFINITY }];
    let idSequence = 0;
    /** Rises with each change of what instances may know of each other. */
    let topology = 0;
    const noteChange = (): void => {
        topology += 1;
        after(DETECTION_MS, () => {
            topology += 1;
        });
    };

    const isRunning = (instance: VirtualQuotaInstance): boolean => now() < instance.endsAtMs && now() >= instance.resumesAtMs;
    const isReachable = (one: VirtualQuotaInstance, other: VirtualQuotaInstance): boolean => canReach(one, other, now());
    const isCut = (instance: VirtualQuotaInstance): boolean => now() < instance.cutUntilMs;

    const step = (instance: VirtualQuotaInstance): void => {
        if (!isRunning(instance)) {
            return;
        }
        instance.decisions.step(now(), instance.inputs.splice(0)).forEach(command => execute(instance, command));
        planStep(instance);
    };

    const planStep = (instance: VirtualQuotaInstance): void => {
        const atMs = Math.max(now() + 0.5, instance.decisions.nextStepAtMs());
        if (Number.isFinite(atMs)) {
            at(atMs, () => instance.inputs.length === 0 && now() >= instance.decisions.nextStepAtMs() && step(instance));
        }
    };

    const give = (instance: VirtualQuotaInstance, ...inputs: GatewayInput[]): void => {
        if (now() >= instance.endsAtMs) {
            return;
        }
        instance.inputs.push(...inputs);
        if (!instance.isStepPlanned) {
            instance.isStepPlanned = true;
            at(Math.max(now(), instance.resumesAtMs), () => {
                instance.isStepPlanned = false;
                step(instance);
            });
        }
    };

    /** Delivers a message. During a cut, it is lost or arrives at its end, as the network has it. */
    const deliver = (from: VirtualQuotaInstance, id: string, input: GatewayInput, message: object): void => {
        const receiver = byId.get(id);
        const isAboutQuotas = input.kind !== "status" || input.status.lent !== undefined;
        if (countBytes !== undefined && isAboutQuotas) {
            from.bytes += countQuotaBytes(input, message, countBytes);
            from.messages += input.kind === "status" ? 0 : 1;
        }
        if (receiver === undefined) {
            return;
        }
        if (!isReachable(from, receiver)) {
            const healsAtMs = Math.max(isCut(from) ? from.cutUntilMs : 0, isCut(receiver) ? receiver.cutUntilMs : 0);
            if (from.decisions.view().random() < 0.5) {
                at(healsAtMs + random() * 100, () => give(receiver, input));
            }
            return;
        }
        after(DELAY_MS + random() * MAX_JITTER_MS, () => give(receiver, input));
    };

    const execute = (from: VirtualQuotaInstance, command: GatewayCommand): void => {
        switch (command.kind) {
            case "send":
                calls.recordSent(command.callId);
                after(ANSWER_MS, () => give(from, { ...command, kind: "finished", status: 200, longestGapMs: 0 }));
                break;
            case "answer":
                calls.recordAnswer(command);
                break;
            case "shareStatus": {
                const { to, status } = command;
                to.forEach(id => deliver(from, id, { kind: "status", status }, { kind: "status", status }));
                break;
            }
            case "shareDigest": {
                const receiver = byId.get(command.to);
                if (receiver !== undefined && isReachable(from, receiver)) {
                    after(DELAY_MS, () => give(receiver, { kind: "digest", digest: command.digest }));
                }
                break;
            }
            case "askQuota": {
                const { wants } = command;
                const input = { kind: "quotaWanted", from: from.settings.instanceId, sequence: command.sequence, wants } as const;
                deliver(from, command.to, input, { kind: "quotaWanted", sequence: command.sequence, wants });
                break;
            }
            case "grantQuota": {
                const { grants } = command;
                const input = { kind: "quotaGranted", from: from.settings.instanceId, sequence: command.sequence, grants } as const;
                deliver(from, command.to, input, { kind: "quotaGranted", sequence: command.sequence, grants });
                break;
            }
            default:
        }
    };

    const register = (instance: VirtualQuotaInstance): void => {
        const wasListed = registry.listed().includes(instance.id);
        const isRenewal = instance.hasEntry && wasListed;
        if (!wasListed) {
            listedSinceMs.set(instance.id, now());
            noteChange();
        }
        registry.register(instance.id);
        instance.hasEntry = true;
        instance.renewsAtMs = now() + RENEWAL_MS;
        const isKnown = wasListed && now() - (listedSinceMs.get(instance.id) ?? now()) >= KNOWN_MS;
        give(instance, { kind: "registered", validUntilMs: now() + VALID_MS, wasListed: isRenewal || isKnown });
    };

    const createConfig = (index: number): RoutingConfig => ({
        version: index + 1,
        routes: [],
        services: new Map(),
        limits: {} as RoutingConfig["limits"],
        workspaces: configs[index]?.workspaces,
    });

    const hasStore = (instance: VirtualQuotaInstance): boolean => registry.isUp() && now() >= instance.storeCutUntilMs && !isCut(instance);

    const readStore = (instance: VirtualQuotaInstance): void => {
        if (now() >= instance.endsAtMs) {
            instances.splice(instances.indexOf(instance), 1);
            return;
        }
        if (isRunning(instance)) {
            const isStoreRead = hasStore(instance);
            if (isStoreRead) {
                if (!instance.isStopping && now() >= instance.renewsAtMs) {
                    register(instance);
                }
                instance.listed = registry.listed();
                if (instance.config < configs.length - 1) {
                    instance.config = configs.length - 1;
                    give(instance, { kind: "config", config: createConfig(instance.config) });
                    noteConfigUse();
                }
            }
            const told = `${isStoreRead ? registry.version() : "-"} ${topology}`;
            if (told !== instance.told) {
                instance.told = told;
                give(instance, describeQuotaGroup(instances, instance, now()));
            }
            if (isStoreRead) {
                give(instance, { kind: "listContact", atMs: now() - random() * MAX_CONTACT_AGE_MS });
            }
        }
        after(READ_MS, () => readStore(instance));
    };

    /** Notes which configurations no instance uses any more. */
    const noteConfigUse = (): void => {
        const oldest = Math.min(configs.length - 1, ...instances.filter(each => now() < each.endsAtMs).map(each => each.config));
        configs.forEach((each, index) => {
            if (index < oldest && !Number.isFinite(each.lastUsedAtMs)) {
                each.lastUsedAtMs = now();
            }
        });
    };

    const start = (zone: number, id: string, cutUntilMs: number, isMember: boolean): VirtualQuotaInstance => {
        const settings = { ...createSettings(id, `z${zone}`), ...options.settings };
        const decisions = createGatewayDecisions(settings, random);
        const instance = createQuotaInstance({ id, zone, settings, decisions, startedAtMs: now(), cutUntilMs, config: configs.length - 1 });
        instances.push(instance);
        byId.set(id, instance);
        noteChange();
        if (isMember) {
            registry.register(id);
            listedSinceMs.set(id, now() - KNOWN_MS);
        }
        give(instance, { kind: "config", config: createConfig(instance.config) }, { kind: "target", entry: endlessTarget });
        after(random() * READ_MS * 0.6, () => readStore(instance));
        return instance;
    };
    const unlist = (instance: VirtualQuotaInstance): void => {
        if (hasStore(instance)) {
            registry.remove(instance.id);
        }
    };
    const createId = (): string => `i${String(idSequence += 1).padStart(4, "0")}`;
    for (let index = 0; index < options.instances; index += 1) {
        start(index % zones, createId(), 0, options.isNew !== true);
    }

    const expireRepeatedly = (): void => {
        if (registry.isUp()) {
            registry.removeExpired();
        }
        after(READ_MS, expireRepeatedly);
    };
    expireRepeatedly();

    return {
        random,
        now,
        run,
        after,
        instances,
        uses: calls.uses,
        answers: calls.answers,
        configs,
        /** Sends a request of a workspace to an instance. */
        sendCall: (instance: VirtualQuotaInstance | undefined, workspaceName: string, cost: number, timeoutMs = 1_000): void => {
            const workspace = configs[instance?.config ?? 0]?.workspaces.get(workspaceName);
            if (instance === undefined || workspace === undefined || now() >= instance.endsAtMs) {
                return;
            }
            give(instance, calls.create(workspace, cost, Math.max(now(), instance.resumesAtMs), timeoutMs));
        },
        ...disturbQuotaGroup({ now, at, after, start, step, give, noteChange, noteConfigUse, createId, unlist }),
        stopStore: registry.stop,
        /** Has the store come back from an older copy, without the entries of some instances. */
        loseEntries: (lost: readonly VirtualQuotaInstance[]): void => lost.forEach(each => registry.remove(each.id)),
        /** Has the target refuse work for a time, so that requests wait. */
        pauseTarget: (durationMs: number): void =>
            instances.forEach(each => give(each, { kind: "pause", targetId: endlessTarget.targetId, pauseMs: durationMs })),
        /** Changes the quotas. Instances learn of it with the store's list. */
        changeQuotas: (workspaces: readonly Workspace[]): void => {
            configs.push({ workspaces: new Map(workspaces.map(each => [each.name, each])), lastUsedAtMs: Number.POSITIVE_INFINITY });
        },
    };
};
