import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { GatewayCommand } from "../../gatewayCommand.js";
import { createServiceCall } from "./createServiceCall.js";
import { createVirtualCallers } from "./createVirtualCallers.js";

interface MachinesOptions {
    seed: number;
    instances: number;
    targets: number;
    /** Requests that a target runs at once. */
    slots: number;
    /** Work of a request in ms, on a target of speed 1. */
    workMs: number;
    /** Lasting speed of a target's machine. */
    usualSpeed: (target: number) => number;
    /** Present speed of a target's machine relative to its lasting one. */
    currentSpeed: (target: number, nowMs: number) => number;
    /** Interval in ms at whose multiples speeds may change. */
    changeIntervalMs: number;
    /** Whether targets send the fourth load figure. */
    sendsWorkTime: boolean;
    /** Share of the requests that each instance gets; equal shares if missing. */
    demandShares?: readonly number[];
}

interface Run {
    onDone: () => void;
    workMs: number;
}

/** One-way delay in ms between instances, targets and callers. */
const DELAY_MS = 1;

/** Simulates targets of a plain service whose machines differ in speed and change it, before several instances in one zone. */
export const createVirtualMachines = (options: MachinesOptions) => {
    const { slots, usualSpeed, currentSpeed, changeIntervalMs } = options;
    const generator = xoroshiro128plus(options.seed);
    const random = (): number => uniformFloat64(generator);
    const entries = Array.from({ length: options.targets }, (_, index): TargetEntry => ({
        targetId: brandAs(`t${index}`),
        service: "app",
        address: `10.0.0.${index}:80`,
        zone: brandAs("z0"),
        softwareVersion: "v1",
        slots,
        leaving: false,
        startedAtMs: 0,
        remainingMs: undefined,
        models: [],
        inMemory: [],
        onDisk: [],
    }));
    const targets = entries.map((_, index) => ({ index, running: 0, waiting: [] as Run[], busyMs: 0, served: 0, sinceMs: 0 }));
    type Target = (typeof targets)[number];
    const outcomes: { arrivedAtMs: number; tookMs: number; status: number }[] = [];
    const arrivals = new Map<string, number>();

    const group = createVirtualCallers({
        instances: options.instances,
        zones: 1,
        random,
        entries,
        drawMessageDelayMs: () => DELAY_MS,
        execute: (instance, command) => execute(instance, command),
    });
    const { now, after } = group;

    /** Time in ms for an amount of work from now on, over the changes of speed meanwhile. */
    const durationMs = (index: number, workMs: number): number => {
        let atMs = now();
        for (let leftMs = workMs; ;) {
            const speed = usualSpeed(index) * currentSpeed(index, atMs);
            const changeAtMs = (Math.floor(atMs / changeIntervalMs) + 1) * changeIntervalMs;
            if (leftMs <= (changeAtMs - atMs) * speed) {
                return atMs + leftMs / speed - now();
            }
            leftMs -= (changeAtMs - atMs) * speed;
            atMs = changeAtMs;
        }
    };

    /** Adds up the time for which the places of a target were in use. */
    const countBusyTime = (target: Target): void => {
        target.busyMs += target.running * (now() - target.sinceMs);
        target.sinceMs = now();
    };

    const startNext = (target: Target): void => {
        while (target.running < slots) {
            const run = target.waiting.shift();
            if (run === undefined) {
                return;
            }
            countBusyTime(target);
            target.running += 1;
            after(durationMs(target.index, run.workMs), () => {
                countBusyTime(target);
                target.running -= 1;
                target.served += 1;
                run.onDone();
                startNext(target);
            });
        }
    };

    const finish = (callId: string, status: number): void => {
        const arrivedAtMs = arrivals.get(callId);
        if (arrivedAtMs !== undefined) {
            arrivals.delete(callId);
            outcomes.push({ arrivedAtMs, status, tookMs: now() - arrivedAtMs });
        }
    };

    const execute = (instance: number, command: GatewayCommand): void => {
        if (command.kind === "answer") {
            finish(command.callId, command.status);
        }
        if (command.kind !== "send") {
            return;
        }
        const { callId, attempt, targetId } = command;
        const target = targets.find(each => entries[each.index]?.targetId === targetId);
        after(DELAY_MS, () => {
            target?.waiting.push({
                workMs: options.workMs * (0.9 + random() * 0.2),
                onDone: () => {
                    const { running, waiting } = target;
                    const workTimeRatio = options.sendsWorkTime ? 1 / currentSpeed(target.index, now()) : undefined;
                    const load = { running, waiting: waiting.length, slots, ...(workTimeRatio === undefined ? {} : { workTimeRatio }) };
                    after(DELAY_MS, () => {
                        finish(callId, 200);
                        group.give(
                            instance,
                            { kind: "load", targetId, ...load },
                            { kind: "begun", callId, attempt },
                            { kind: "finished", callId, attempt, status: 200, longestGapMs: 0 },
                        );
                    });
                },
            });
            if (target !== undefined) {
                startNext(target);
            }
        });
    };

    const shares = options.demandShares ?? Array.from({ length: options.instances }, () => 1);
    const shareSum = shares.reduce((sum, each) => sum + each, 0);
    const pickInstance = (): number => {
        let left = random() * shareSum;
        const found = shares.findIndex(each => {
            left -= each;
            return left < 0;
        });
        return found < 0 ? 0 : found;
    };

    let sequence = 0;
    return {
        targets,
        outcomes,
        now,
        /** Sends requests at random times, at a mean rate and for a time in ms, and lets them end. */
        run: (perSecond: number, forMs: number): void => {
            const endMs = now() + forMs;
            const arrive = (): void => {
                if (now() >= endMs) {
                    return;
                }
                sequence += 1;
                const callId = brandAs<RequestId>(`c${sequence}`);
                arrivals.set(callId, now());
                group.give(pickInstance(), { kind: "call", metadata: createServiceCall(callId, callId, now(), { kind: "unsafe", latencyTargetMs: 250, timeoutMs: 1_000 }) });
                after(-Math.log(1 - random()) * 1_000 / perSecond, arrive);
            };
            arrive();
            group.run(forMs);
        },
        /** Starts the count of used places and served requests again. */
        resetCounts: (): void => targets.forEach(target => {
            countBusyTime(target);
            target.busyMs = 0;
            target.served = 0;
        }),
        /** Ends the count of used places at this time. */
        countBusyTimes: (): void => targets.forEach(countBusyTime),
    };
};
