import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import { applyGatewayInput } from "../../applyGatewayInput.js";
import { createGatewayContext } from "../../createGatewayContext.js";
import { countRequest } from "../../retries/countRequest.js";
import { createRetryBudget } from "../../retries/createRetryBudget.js";
import { endRetryWait } from "../../retries/endRetryWait.js";
import { takeRetryToken } from "../../retries/takeRetryToken.js";
import { createSettings } from "./createSettings.js";
import { createVirtualClock } from "./createVirtualClock.js";
import { createVirtualRegistry } from "./createVirtualRegistry.js";
import type { VirtualRetryInstance } from "./virtualRetryInstance.js";

const SERVICE = "app";
/** Interval in ms between the steps of an instance, in each of which it reads the store and makes the retries that it may. */
const STEP_MS = 500;
const RENEWAL_MS = 10_000;
/** Time in ms after which instances that can reach each other know of each other. */
const CONTACT_DELAY_MS = 2_000;
/** Age in ms up to which an instance learns of the store's answers through another one. */
const MAX_CONTACT_AGE_MS = 900;

interface RetryGroupOptions {
    seed: number;
    instances: number;
    zones: number;
    /** Whether instances hear of each other, or only of the store's list. */
    hasGossip: boolean;
    /** Requests that arrive at an instance in a step. */
    countArrivals: (instance: VirtualRetryInstance) => number;
    /** Whether all attempts are refused now, so that each instance makes every retry that it may. */
    isRefusing: () => boolean;
    /** Time in ms for which a retry that is allowed now waits until it is sent. */
    sendDelayMs?: () => number;
}

/**
 * Simulates the retry budgets of instances that register in a store and discover each other there, over virtual time.
 * Instances end, start again, are replaced, paused and cut off. The same seed repeats a run exactly.
 */
export const createVirtualRetryGroup = (options: RetryGroupOptions) => {
    const { zones, hasGossip, countArrivals, isRefusing, sendDelayMs = () => 0 } = options;
    const generator = xoroshiro128plus(options.seed);
    const random = (): number => uniformFloat64(generator);
    const { now, after, run } = createVirtualClock();
    const registry = createVirtualRegistry(now);
    const instances: VirtualRetryInstance[] = [];
    const requestTimesMs: number[] = [];
    const retryTimesMs: number[] = [];
    let sequence = 0;

    const isCutOff = (instance: VirtualRetryInstance): boolean => now() < instance.peersCutUntilMs;
    const isRunning = (instance: VirtualRetryInstance): boolean => now() < instance.endsAtMs && now() >= instance.resumesAtMs;

    const listMembers = (self: VirtualRetryInstance): VirtualRetryInstance[] => instances.filter(each => each !== self && hasGossip
        && isRunning(each) && now() - Math.max(each.startedAtMs, self.startedAtMs) >= CONTACT_DELAY_MS
        && (each.zone === self.zone || (!isCutOff(each) && !isCutOff(self))));

    const tellInstances = (instance: VirtualRetryInstance): void => {
        const knownMembers = listMembers(instance);
        const members = knownMembers.map(({ context }) => ({ id: context.settings.instanceId, zone: context.settings.zone }));
        // An instance that has not read the store gets the configuration and the list from another one.
        instance.listed = instance.readVersion === undefined ? knownMembers[0]?.listed ?? [] : instance.listed;
        instance.hasConfig ||= instance.readVersion !== undefined || knownMembers.some(each => each.hasConfig);
        const told = `${instance.readVersion} ${members.map(each => each.id).join(" ")}`;
        if (told === instance.toldMembers) {
            return;
        }
        instance.toldMembers = told;
        applyGatewayInput(instance.context, {
            kind: "instances",
            count: Math.max(instance.listed.length, members.length + 1),
            listed: instance.listed.map(id => brandAs<InstanceId>(id)),
            planners: new Map(),
            members,
            zoneOrder: [],
        });
    };

    const readStore = (instance: VirtualRetryInstance): void => {
        if (registry.isUp() && now() >= instance.storeCutUntilMs) {
            if (!instance.isUnlisted && now() >= instance.renewsAtMs) {
                registry.register(instance.id);
                instance.renewsAtMs = now() + RENEWAL_MS;
            }
            instance.readVersion = registry.version();
            instance.listed = registry.listed();
            tellInstances(instance);
            applyGatewayInput(instance.context, { kind: "listContact", atMs: now() - random() * MAX_CONTACT_AGE_MS });
            return;
        }
        tellInstances(instance);
    };

    const send = (instance: VirtualRetryInstance): void => {
        if (now() < instance.endsAtMs) {
            instance.context.nowMs = now();
            endRetryWait(instance.context, SERVICE);
            retryTimesMs.push(now());
        }
    };

    const serve = (instance: VirtualRetryInstance): void => {
        const { context } = instance;
        if (!instance.hasConfig) {
            return;
        }
        for (let count = countArrivals(instance); count > 0; count -= 1) {
            requestTimesMs.push(now());
            const budget = context.retryBudgets.get(SERVICE) ?? createRetryBudget();
            context.retryBudgets.set(SERVICE, budget);
            countRequest(budget, context.settings.retryWindowMs, context.nowMs);
        }
        while (isRefusing() && takeRetryToken(context, SERVICE)) {
            after(sendDelayMs(), () => send(instance));
        }
    };

    const step = (instance: VirtualRetryInstance): void => {
        if (now() >= instance.endsAtMs) {
            instances.splice(instances.indexOf(instance), 1);
            return;
        }
        if (isRunning(instance)) {
            instance.context.nowMs = now();
            instance.context.commands = [];
            // An instance that resumes may make retries before it reads the store.
            const [first, second] = random() < 0.5 ? [readStore, serve] : [serve, readStore];
            first(instance);
            second(instance);
        }
        after(STEP_MS, () => step(instance));
    };

    const start = (zone: number, id = `i${sequence += 1}`, cutUntilMs = 0): void => {
        const instance: VirtualRetryInstance = {
            id,
            zone,
            context: createGatewayContext(createSettings(id, `z${zone}`), random),
            startedAtMs: now(),
            resumesAtMs: now(),
            endsAtMs: Number.POSITIVE_INFINITY,
            isUnlisted: false,
            hasConfig: false,
            readVersion: undefined,
            listed: [],
            toldMembers: "",
            renewsAtMs: now(),
            storeCutUntilMs: cutUntilMs,
            peersCutUntilMs: cutUntilMs,
        };
        instances.push(instance);
        after(STEP_MS * random(), () => step(instance));
    };
    for (let index = 0; index < options.instances; index += 1) {
        start(index % zones);
    }

    const expireRepeatedly = (): void => {
        if (registry.isUp()) {
            registry.removeExpired();
        }
        after(STEP_MS, expireRepeatedly);
    };
    expireRepeatedly();

    /** Ends an instance. Returns whether it was running. */
    const kill = (instance: VirtualRetryInstance): boolean => {
        const wasRunning = now() < instance.endsAtMs;
        instance.endsAtMs = Math.min(instance.endsAtMs, now());
        return wasRunning;
    };

    const startAfter = (instance: VirtualRetryInstance, downMs: number, id?: string): void =>
        after(downMs, () => start(instance.zone, id, Math.max(instance.storeCutUntilMs, instance.peersCutUntilMs)));

    return {
        random,
        now,
        run,
        instances,
        requestTimesMs,
        retryTimesMs,
        /** Kills an instance and starts it again at its address, with empty tables. */
        restart: (instance: VirtualRetryInstance, downMs: number): void => {
            if (kill(instance)) {
                startAfter(instance, downMs, instance.id);
            }
        },
        /** Kills an instance and starts another one at a new address. */
        replace: (instance: VirtualRetryInstance, downMs: number): void => {
            if (kill(instance)) {
                startAfter(instance, downMs);
            }
        },
        kill,
        /** Stops an instance as planned: it leaves the list and finishes its open requests. */
        stop: (instance: VirtualRetryInstance, graceMs: number): void => {
            instance.isUnlisted = true;
            instance.endsAtMs = Math.min(instance.endsAtMs, now() + graceMs);
            if (registry.isUp() && now() >= instance.storeCutUntilMs) {
                registry.remove(instance.id);
            }
        },
        pause: (instance: VirtualRetryInstance, durationMs: number): void => {
            instance.resumesAtMs = Math.max(instance.resumesAtMs, now() + durationMs);
        },
        /** Cuts instances off from the store, and from the instances of other zones if `peersToo`. */
        cut: (cutInstances: readonly VirtualRetryInstance[], durationMs: number, peersToo: boolean): void => {
            for (const instance of cutInstances) {
                instance.storeCutUntilMs = now() + durationMs;
                instance.peersCutUntilMs = peersToo ? now() + durationMs : instance.peersCutUntilMs;
            }
        },
        /** Starts more instances. They are cut off from the store and other zones for a time if `cutMs` is above 0. */
        grow: (count: number, zone: number, cutMs: number): void => {
            for (let index = 0; index < count; index += 1) {
                start(zone, undefined, now() + cutMs);
            }
        },
        stopStore: registry.stop,
    };
};
