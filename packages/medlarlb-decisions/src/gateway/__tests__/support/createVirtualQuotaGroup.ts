import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { RequestId } from "medlarlb-types/requestId";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { Workspace } from "medlarlb-types/workspace";
import type { ZoneId } from "medlarlb-types/zoneId";
import { createGatewayDecisions } from "../../createGatewayDecisions.js";
import type { GatewayCommand } from "../../gatewayCommand.js";
import type { GatewayInput } from "../../gatewayInput.js";
import type { GatewaySettings } from "../../gatewaySettings.js";
import { createServiceCall } from "./createServiceCall.js";
import { createSettings } from "./createSettings.js";
import { createVirtualClock } from "./createVirtualClock.js";
import { createVirtualRegistry } from "./createVirtualRegistry.js";
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
const TARGET_ID = "t0";

const TARGET: TargetEntry = {
    targetId: brandAs(TARGET_ID),
    service: "app",
    address: "10.0.0.1:80",
    zone: brandAs("z0"),
    softwareVersion: "v1",
    slots: 1e9,
    leaving: false,
    startedAtMs: 0,
    remainingMs: undefined,
    models: [],
    inMemory: [],
    onDisk: [],
};

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

interface Use {
    atMs: number;
    cost: number;
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
    const uses = new Map<string, Use[]>();
    const answers: { atMs: number; workspace: string; status: number; heldMs: number; retryAfterMs: number | undefined; leftMs: number }[] = [];
    const calls = new Map<RequestId, { workspace: string; cost: number; arrivedAtMs: number; deadlineAtMs: number; isSent: boolean }>();
    /** Configurations in the order of their versions, with the latest time at which an instance used each. */
    const configs: { workspaces: Map<string, Workspace>; lastUsedAtMs: number }[]
        = [{ workspaces: new Map(options.workspaces.map(each => [each.name, each])), lastUsedAtMs: Number.POSITIVE_INFINITY }];
    let sequence = 0;
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
    const isCut = (instance: VirtualQuotaInstance): boolean => now() < instance.cutUntilMs;
    const isReachable = (one: VirtualQuotaInstance, other: VirtualQuotaInstance): boolean => {
        const isCutOff = isCut(one) || isCut(other);
        return !isCutOff || (one.zone === other.zone && !(isCut(one) && one.isCutAlone) && !(isCut(other) && other.isCutAlone));
    };

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
            const bytes = countBytes(message) - (input.kind === "status" ? countBytes({ ...message, status: { ...input.status, lent: undefined } }) : 0);
            from.bytes += bytes;
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
            case "send": {
                const { callId, attempt } = command;
                const call = calls.get(callId);
                if (call !== undefined && !call.isSent) {
                    call.isSent = true;
                    uses.get(call.workspace)?.push({ atMs: now(), cost: call.cost });
                    answers.push({ ...call, atMs: now(), status: 200, heldMs: now() - call.arrivedAtMs, retryAfterMs: undefined, leftMs: 0 });
                }
                calls.delete(callId);
                after(ANSWER_MS, () => give(from, { kind: "finished", callId, attempt, status: 200, longestGapMs: 0 }));
                break;
            }
            case "answer": {
                const call = calls.get(command.callId);
                if (call !== undefined) {
                    const { status, retryAfterMs } = command;
                    answers.push({ ...call, atMs: now(), status, heldMs: now() - call.arrivedAtMs, retryAfterMs, leftMs: call.deadlineAtMs - now() });
                    calls.delete(command.callId);
                }
                break;
            }
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

    const describeGroup = (self: VirtualQuotaInstance): Extract<GatewayInput, { kind: "instances" }> => {
        const isDead = ({ endsAtMs, resumesAtMs, startedAtMs }: VirtualQuotaInstance): boolean => now() >= endsAtMs
            || (now() < resumesAtMs && startedAtMs + DETECTION_MS < now()) || startedAtMs > now();
        const known = new Set(self.listed);
        const members: { id: InstanceId; zone: ZoneId }[] = [];
        for (const each of instances) {
            const isKnown = known.has(each.id) || now() - each.startedAtMs >= DETECTION_MS;
            if (each !== self && byId.get(each.id) === each && isKnown && !isDead(each) && isReachable(each, self)) {
                members.push({ id: each.settings.instanceId, zone: each.settings.zone });
            }
        }
        const zone = [...members.filter(each => each.zone === self.settings.zone).map(each => each.id), self.settings.instanceId].sort();
        const planners = new Map<ZoneId, InstanceId>();
        for (const each of [...members, { id: self.settings.instanceId, zone: self.settings.zone }]) {
            const planner = planners.get(each.zone);
            if (planner === undefined || each.id < planner) {
                planners.set(each.zone, each.id);
            }
        }
        const listed = self.listed.map(id => brandAs<InstanceId>(id));
        return { kind: "instances", count: Math.max(listed.length, members.length + 1), listed, planners, members, zoneOrder: zone };
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

    const readStore = (instance: VirtualQuotaInstance): void => {
        if (now() >= instance.endsAtMs) {
            instances.splice(instances.indexOf(instance), 1);
            return;
        }
        if (isRunning(instance)) {
            const hasStore = registry.isUp() && now() >= instance.storeCutUntilMs && !isCut(instance);
            if (hasStore) {
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
            const told = `${hasStore ? registry.version() : "-"} ${topology}`;
            if (told !== instance.told) {
                instance.told = told;
                give(instance, describeGroup(instance));
            }
            if (hasStore) {
                give(instance, { kind: "listContact", atMs: now() - random() * MAX_CONTACT_AGE_MS });
            }
        }
        after(READ_MS, () => readStore(instance));
    };

    /** Notes which configurations no instance uses any more. */
    const noteConfigUse = (): void => {
        const oldest = Math.min(...instances.filter(each => now() < each.endsAtMs).map(each => each.config));
        configs.forEach((each, index) => {
            if (index < oldest && !Number.isFinite(each.lastUsedAtMs)) {
                each.lastUsedAtMs = now();
            }
        });
    };

    const start = (zone: number, id: string, cutUntilMs: number, isMember: boolean): VirtualQuotaInstance => {
        const settings = { ...createSettings(id, `z${zone}`), ...options.settings };
        const instance: VirtualQuotaInstance = {
            id,
            zone,
            settings,
            decisions: createGatewayDecisions(settings, random),
            inputs: [],
            isStepPlanned: false,
            startedAtMs: now(),
            endsAtMs: Number.POSITIVE_INFINITY,
            resumesAtMs: now(),
            cutUntilMs,
            isCutAlone: false,
            storeCutUntilMs: cutUntilMs,
            isStopping: false,
            renewsAtMs: now(),
            hasEntry: false,
            listed: [],
            told: "",
            config: configs.length - 1,
            messages: 0,
            bytes: 0,
        };
        instances.push(instance);
        byId.set(id, instance);
        noteChange();
        if (isMember) {
            registry.register(id);
            listedSinceMs.set(id, now() - KNOWN_MS);
        }
        give(instance, { kind: "config", config: createConfig(instance.config) }, { kind: "target", entry: TARGET });
        after(random() * READ_MS * 0.6, () => readStore(instance));
        return instance;
    };
    const createId = (): string => `i${String(idSequence += 1).padStart(4, "0")}`;
    for (let index = 0; index < options.instances; index += 1) {
        start(index % zones, createId(), 0, options.isNew !== true);
    }
    options.workspaces.forEach(each => uses.set(each.name, []));

    const expireRepeatedly = (): void => {
        if (registry.isUp()) {
            registry.removeExpired();
        }
        after(READ_MS, expireRepeatedly);
    };
    expireRepeatedly();

    /** Ends an instance at once. Returns whether it was running. */
    const kill = (instance: VirtualQuotaInstance): boolean => {
        const wasRunning = now() < instance.endsAtMs;
        instance.endsAtMs = Math.min(instance.endsAtMs, now());
        instance.inputs = [];
        noteChange();
        noteConfigUse();
        return wasRunning;
    };

    return {
        random,
        now,
        run,
        after,
        instances,
        uses,
        answers,
        configs,
        /** Sends a request of a workspace to an instance. */
        sendCall: (instance: VirtualQuotaInstance | undefined, workspaceName: string, cost: number, timeoutMs = 1_000): void => {
            const workspace = configs[instance?.config ?? 0]?.workspaces.get(workspaceName);
            if (instance === undefined || workspace === undefined || now() >= instance.endsAtMs) {
                return;
            }
            sequence += 1;
            const callId = brandAs<RequestId>(`c${sequence}`);
            const arrivedAtMs = Math.max(now(), instance.resumesAtMs);
            const metadata = createServiceCall(callId, callId, arrivedAtMs, { timeoutMs });
            calls.set(callId, { workspace: workspaceName, cost, arrivedAtMs, deadlineAtMs: metadata.deadlineAtMs, isSent: false });
            give(instance, { kind: "call", metadata: { ...metadata, promptTokens: cost, workspace } });
        },
        kill,
        /** Kills an instance and starts another process at its address, or at a new one. */
        restart: (instance: VirtualQuotaInstance, downMs: number, isReplaced = false): void => {
            if (kill(instance)) {
                after(downMs, () => start(instance.zone, isReplaced ? createId() : instance.id, instance.cutUntilMs, false));
            }
        },
        /** Stops an instance as planned: it leaves the list and goes on with open requests. */
        stop: (instance: VirtualQuotaInstance, graceMs: number): void => {
            if (!instance.isStopping && isRunning(instance)) {
                instance.isStopping = true;
                give(instance, { kind: "registered", validUntilMs: Number.NEGATIVE_INFINITY, wasListed: true });
                after(DELAY_MS, () => registry.isUp() && now() >= instance.storeCutUntilMs && !isCut(instance) && registry.remove(instance.id));
                at(now() + graceMs, () => kill(instance));
            }
        },
        pause: (instance: VirtualQuotaInstance, durationMs: number): void => {
            instance.resumesAtMs = Math.max(instance.resumesAtMs, now() + durationMs);
            noteChange();
            // Timers that were due run when the process goes on.
            at(instance.resumesAtMs, () => {
                noteChange();
                step(instance);
            });
        },
        /** Cuts instances off from the store and from those of other zones or, if they are alone, from all. */
        cut: (cutInstances: readonly VirtualQuotaInstance[], durationMs: number, isAlone: boolean): void => {
            for (const instance of cutInstances) {
                instance.cutUntilMs = now() + durationMs;
                instance.isCutAlone = isAlone;
            }
            noteChange();
            after(durationMs + 1, noteChange);
        },
        cutStore: (cutInstances: readonly VirtualQuotaInstance[], durationMs: number): void => cutInstances.forEach(instance => {
            instance.storeCutUntilMs = now() + durationMs;
        }),
        grow: (count: number, zone: number): void => {
            for (let index = 0; index < count; index += 1) {
                start(zone, createId(), 0, false);
            }
        },
        stopStore: registry.stop,
        /** Has the target refuse work for a time, so that requests wait. */
        pauseTarget: (durationMs: number): void =>
            instances.forEach(each => give(each, { kind: "pause", targetId: brandAs(TARGET_ID), pauseMs: durationMs })),
        /** Changes the quotas. Instances learn of it with the store's list. */
        changeQuotas: (workspaces: readonly Workspace[]): void => {
            configs.push({ workspaces: new Map(workspaces.map(each => [each.name, each])), lastUsedAtMs: Number.POSITIVE_INFINITY });
        },
    };
};
