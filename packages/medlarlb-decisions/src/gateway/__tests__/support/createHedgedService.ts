import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import type { Route } from "medlarlb-types/route";
import { createGatewayDecisions } from "../../createGatewayDecisions.js";
import type { GatewayCommand } from "../../gatewayCommand.js";
import type { GatewayInput } from "../../gatewayInput.js";
import { createServiceCall } from "./createServiceCall.js";
import { createSettings } from "./createSettings.js";
import { createVirtualClock } from "./createVirtualClock.js";

interface ServiceOptions {
    seed: number;
    instances: number;
    targets: number;
    extraWorkRatio: number;
    route?: Partial<Route>;
    /** Draws how long a run takes, in ms. */
    drawRunMs: (random: () => number, nowMs: number) => number;
}

interface Run {
    key: string;
    tookMs: number;
    onDone: () => void;
}

const SLOTS = 6;
const DELAY_MS = 1;

/**
 * Simulates instances before targets of a plain service that run a limited number of requests at once, over virtual time. Retries
 * are hardly limited, so that only the limit on second attempts is.
 */
export const createHedgedService = (options: ServiceOptions) => {
    const { seed, extraWorkRatio, route = {}, drawRunMs } = options;
    const generator = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(generator);
    const clock = createVirtualClock();
    const { now, after } = clock;
    const targets = Array.from({ length: options.targets }, (_, index) => ({ id: `t${index}`, running: [] as Run[], waiting: [] as Run[] }));
    /** Time from arrival to the answer of each answered request. */
    const answerTimesMs: number[] = [];
    const requestTimesMs: number[] = [];
    const hedgeTimesMs: number[] = [];
    const attempts = new Map<string, Set<string>>();
    let refused = 0;
    let runs = 0;
    let sequence = 0;

    const targetInputs = targets.map(({ id }): GatewayInput => ({
        kind: "target",
        entry: {
            targetId: brandAs(id),
            service: "app",
            address: id,
            zone: brandAs("z0"),
            softwareVersion: "v1",
            slots: SLOTS,
            leaving: false,
            startedAtMs: 0,
            remainingMs: undefined,
            models: [],
            inMemory: [],
            onDisk: [],
        },
    }));
    const start = () => createGatewayDecisions({ ...createSettings("any", "z0"), extraWorkRatio, retryRatio: 1 }, random);
    const instances = Array.from({ length: options.instances }, (_, index) => ({ index, boot: 0, decisions: start() }));
    type Instance = (typeof instances)[number];

    const startRuns = (target: (typeof targets)[number]): void => {
        while (target.running.length < SLOTS && target.waiting.length > 0) {
            const run = target.waiting.shift() as Run;
            target.running.push(run);
            runs += 1;
            after(run.tookMs, () => {
                const position = target.running.indexOf(run);
                if (position >= 0) {
                    target.running.splice(position, 1);
                    run.onDone();
                    startRuns(target);
                }
            });
        }
    };

    const cancel = (key: string): void => targets.forEach(target => {
        target.running = target.running.filter(run => run.key !== key);
        target.waiting = target.waiting.filter(run => run.key !== key);
        startRuns(target);
    });

    const step = (instance: Instance, ...inputs: GatewayInput[]): void => {
        instance.decisions.step(now(), inputs).forEach(command => execute(instance, command));
        const nextAtMs = instance.decisions.nextStepAtMs();
        const { boot } = instance;
        if (Number.isFinite(nextAtMs)) {
            const isDue = (): boolean => instance.boot === boot && now() >= instance.decisions.nextStepAtMs();
            clock.at(Math.max(now() + 1, nextAtMs), () => isDue() && step(instance));
        }
    };

    const execute = (instance: Instance, command: GatewayCommand): void => {
        const { boot, index } = instance;
        if (command.kind === "send") {
            const { callId, attempt, targetId } = command;
            const arrivedAtMs = instance.decisions.view().calls.get(callId)?.metadata.arrivedAtMs ?? 0;
            const used = attempts.get(callId) ?? new Set();
            attempts.set(callId, used.add(targetId));
            const target = targets.find(each => each.id === targetId);
            after(DELAY_MS, () => {
                target?.waiting.push({
                    key: `${index}/${boot}/${callId}/${attempt}`,
                    tookMs: drawRunMs(random, now()),
                    onDone: () => after(DELAY_MS, () => {
                        if (instance.boot === boot && instance.decisions.view().calls.has(callId)) {
                            answerTimesMs.push(now() - arrivedAtMs);
                            step(instance, { kind: "begun", callId, attempt }, { kind: "finished", callId, attempt, status: 200, longestGapMs: 0 });
                        }
                    }),
                });
                if (target !== undefined) {
                    startRuns(target);
                }
            });
        }
        else if (command.kind === "abort") {
            after(DELAY_MS, () => cancel(`${index}/${boot}/${command.callId}/${command.attempt}`));
        }
        else if (command.kind === "answer") {
            refused += 1;
        }
        else if (command.kind === "log" && command.event === "hedged") {
            hedgeTimesMs.push(now());
        }
    };

    instances.forEach(instance => step(instance, ...targetInputs));
    return {
        random,
        now,
        after,
        run: clock.run,
        instances,
        answerTimesMs,
        requestTimesMs,
        hedgeTimesMs,
        /** Has targets tell each instance their load, as they do in answers. */
        tellLoad: (targetIds: readonly string[], running: number): void => instances.forEach(instance =>
            step(instance, ...targetIds.map((id): GatewayInput => ({ kind: "load", targetId: brandAs(id), running, waiting: 0, slots: SLOTS })))),
        counts: () => ({ runs, refused, requests: requestTimesMs.length }),
        /** Returns the largest number of targets to which one request was sent. */
        mostTargets: (): number => Math.max(0, ...[...attempts.values()].map(each => each.size)),
        sendCall: (instanceIndex: number): void => {
            const instance = instances[instanceIndex];
            sequence += 1;
            requestTimesMs.push(now());
            if (instance !== undefined) {
                const callId = brandAs<RequestId>(`c${sequence}`);
                step(instance, { kind: "call", metadata: createServiceCall(callId, callId, now(), route) });
            }
        },
        /** Replaces the process of an instance, which forgets all that it knew. Its requests are lost. */
        restart: (instanceIndex: number): void => {
            const instance = instances[instanceIndex];
            if (instance !== undefined) {
                instance.boot += 1;
                instance.decisions = start();
                step(instance, ...targetInputs);
            }
        },
    };
};
