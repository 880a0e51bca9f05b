import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { brandAs } from "medlarlb-types/brandAs";
import type { EngineProfile } from "medlarlb-types/engineProfile";
import type { PromptPart } from "medlarlb-types/promptPart";
import type { RequestId } from "medlarlb-types/requestId";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { GatewayCommand } from "../../gatewayCommand.js";
import { createServiceCall } from "./createServiceCall.js";
import { createVirtualCallers } from "./createVirtualCallers.js";

interface MemoryGroupOptions {
    seed: number;
    instances: number;
    zones: number;
    engines: number;
    contextTokens: number;
    copiesRuns: boolean;
    /** Draws the delay of a message between instances; undefined for a lost one. */
    drawMessageDelayMs: (random: () => number) => number | undefined;
}

interface VirtualPrompt {
    tokens: number;
    parts: PromptPart[];
    /** Most tokens of the answer, and the expected number. */
    outputTokens: number;
    expectedTokens: number;
    actualTokens: number;
}

interface Run {
    callId: string;
    instance: number;
    attempt: number;
    prompt: VirtualPrompt;
    isCopy: boolean;
    isEnded: boolean;
}

const DELAY_MS = 2;
const SLOTS = 64;
const MS_PER_PROMPT_TOKEN = 0.02;
const MS_PER_OUTPUT_TOKEN = 8;
const DOWN_MS = 1_000;
const COPY_RELEASE_MS = 20;
/** Longest time in ms until an engine notices that a request was abandoned. */
const ABORT_MS = 100;
const PROFILE = { slots: SLOTS, weightsMb: 100, adapterSlots: 0, storeLoadsPerSecond: 1, models: new Map() };

/**
 * Simulates model engines whose memory can run out, before several instances. An engine ends when the requests and copies that it
 * holds may need more tokens than it has, and starts again.
 */
export const createVirtualMemoryGroup = (options: MemoryGroupOptions) => {
    const generator = xoroshiro128plus(options.seed);
    const random = (): number => uniformFloat64(generator);
    const profile: EngineProfile = { ...PROFILE, contextTokens: options.contextTokens, copiesRuns: options.copiesRuns };
    const config: RoutingConfig = {
        version: 1,
        routes: [],
        services: new Map([["llm", { name: "llm", healthPath: "/health", maxConnections: 300, engine: profile }]]),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
    const engines = Array.from({ length: options.engines }, (_, index) => ({
        index,
        runs: new Set<Run>(),
        starts: 0,
        isUp: true,
        busyUntilMs: 0,
        heldMs: 0,
        heldSinceMs: 0,
    }));
    type Engine = (typeof engines)[number];
    const entryOf = ({ index, starts }: Engine): TargetEntry => ({
        targetId: brandAs(`e${index}`),
        service: "llm",
        address: `10.0.0.${index}:80`,
        zone: brandAs(`z${index % options.zones}`),
        softwareVersion: "v1",
        slots: SLOTS,
        leaving: false,
        startedAtMs: starts,
        remainingMs: undefined,
        models: [{ name: "m", version: 1, adapters: [] }],
        inMemory: [],
        onDisk: [],
    });
    const crashes: { atMs: number; engine: number; tokens: number }[] = [];
    const prompts = new Map<string, VirtualPrompt>();
    const active = new Map<string, Run[]>();
    const answers: { callId: string; status: number; atMs: number; reason: string }[] = [];
    let finished = 0;

    const group = createVirtualCallers({
        instances: options.instances,
        zones: options.zones,
        random,
        config,
        entries: engines.map(entryOf),
        drawMessageDelayMs: () => options.drawMessageDelayMs(random),
        execute: (instance, command) => execute(instance, command),
    });
    const { now, after } = group;

    /** Returns the tokens that the requests at an engine may need at most. Equal leading prompt parts are held once. */
    const needed = ({ runs }: Engine): number => {
        const parts = new Set<string>();
        let tokens = 0;
        for (const { prompt } of runs) {
            tokens += prompt.tokens + prompt.outputTokens;
            let key = "";
            for (const part of prompt.parts) {
                key += `/${part.id}`;
                tokens -= parts.has(key) ? part.tokens : 0;
                parts.add(key);
            }
        }
        return tokens;
    };

    const release = (engine: Engine, run: Run): void => {
        run.isEnded = true;
        engine.runs.delete(run);
    };

    const restart = (engine: Engine): void => {
        if (!engine.isUp) {
            return;
        }
        engine.isUp = false;
        for (const run of engine.runs) {
            run.isEnded = true;
            if (!run.isCopy) {
                const { callId, attempt } = run;
                const failed = { kind: "failed" as const, ran: "unknown" as const, cause: "cut" as const, reason: "the connection ended" };
                after(DELAY_MS, () => group.give(run.instance, { ...failed, callId: brandAs<RequestId>(callId), attempt }));
                after(COPY_RELEASE_MS, () => dropCopies(callId));
            }
        }
        engine.runs.clear();
        after(DOWN_MS, () => {
            engine.starts += 1;
            engine.isUp = true;
            group.instances.forEach(each => group.give(each.index, { kind: "target", entry: entryOf(engine) }));
        });
    };

    const dropCopies = (callId: string): void => {
        for (const run of active.get(callId) ?? []) {
            const engine = engines.find(each => each.runs.has(run));
            if (run.isCopy && engine !== undefined) {
                release(engine, run);
            }
        }
    };

    const checkMemory = (engine: Engine): void => {
        const tokens = needed(engine);
        if (tokens > options.contextTokens) {
            crashes.push({ atMs: now(), engine: engine.index, tokens });
            restart(engine);
        }
    };

    const hold = (engine: Engine, run: Run): void => {
        engine.runs.add(run);
        active.set(run.callId, [...active.get(run.callId) ?? [], run]);
        checkMemory(engine);
    };

    const start = (engine: Engine, run: Run): void => {
        const callId = brandAs<RequestId>(run.callId);
        const { prompt, attempt, instance } = run;
        engine.busyUntilMs = Math.max(engine.busyUntilMs, now()) + prompt.tokens * MS_PER_PROMPT_TOKEN;
        const beginsInMs = engine.busyUntilMs - now();
        after(beginsInMs, () => {
            if (!run.isEnded) {
                after(DELAY_MS, () => group.give(instance, { kind: "begun", callId, attempt }));
            }
        });
        after(beginsInMs + prompt.actualTokens * MS_PER_OUTPUT_TOKEN, () => {
            if (run.isEnded) {
                return;
            }
            release(engine, run);
            after(COPY_RELEASE_MS, () => dropCopies(callId));
            finished += 1;
            after(DELAY_MS, () => group.give(instance, { kind: "finished", callId, attempt, status: 200, longestGapMs: 0 }));
        });
    };

    const findEngine = (address: string | undefined): Engine | undefined => engines.find(each => entryOf(each).address === address);

    const send = (instance: number, { callId, attempt, address, copyToAddress, fromCopy }: Extract<GatewayCommand, { kind: "send" }>): void => {
        const prompt = prompts.get(callId);
        const engine = findEngine(address);
        const copyEngine = findEngine(copyToAddress);
        if (prompt === undefined || engine === undefined) {
            return;
        }
        after(DELAY_MS, () => {
            if (!engine.isUp) {
                const failed = { kind: "failed" as const, ran: "no" as const, cause: "connect" as const, reason: "refused" };
                after(DELAY_MS, () => group.give(instance, { ...failed, callId, attempt }));
                return;
            }
            if (fromCopy) {
                dropCopies(callId);
            }
            const run: Run = { callId, instance, attempt, prompt, isCopy: false, isEnded: false };
            hold(engine, run);
            if (!run.isEnded) {
                start(engine, run);
            }
            if (copyEngine?.isUp === true && !run.isEnded) {
                hold(copyEngine, { ...run, isCopy: true });
            }
        });
    };

    const endRuns = (callId: string): void => after(DELAY_MS + random() * ABORT_MS, () => {
        for (const run of active.get(callId) ?? []) {
            engines.forEach(engine => engine.runs.has(run) && release(engine, run));
        }
    });

    const checkRun = (instance: number, { callId, attempt, address, delayMs }: Extract<GatewayCommand, { kind: "checkRun" }>): void =>
        after(delayMs + DELAY_MS, () => {
            const engine = findEngine(address);
            const isListed = [...engine?.runs ?? []].some(run => run.callId === callId && !run.isCopy);
            const state = engine?.isUp !== true ? "ended" : (isListed ? "listed" : "notListed");
            const requestedAtMs = now();
            after(DELAY_MS, () => group.give(instance, { kind: "runChecked", callId, attempt, state, requestedAtMs }));
        });

    const execute = (instance: number, command: GatewayCommand): void => {
        if (command.kind === "send") {
            send(instance, command);
        }
        else if (command.kind === "checkRun") {
            checkRun(instance, command);
        }
        else if (command.kind === "answer") {
            answers.push({ callId: command.callId, status: command.status, atMs: now(), reason: command.reason });
            endRuns(command.callId);
        }
        else if (command.kind === "abort") {
            endRuns(command.callId);
        }
        else if (command.kind === "report") {
            const engine = engines.find(each => entryOf(each).targetId === command.targetId);
            if (engine !== undefined) {
                group.give(instance, { kind: "reportFailed", targetId: command.targetId, reason: "not simulated" });
            }
        }
    };

    let sequence = 0;
    return {
        ...group,
        random,
        engines,
        crashes,
        answers,
        needed,
        finished: (): number => finished,
        restart: (index: number): void => {
            const engine = engines[index];
            if (engine !== undefined) {
                restart(engine);
            }
        },
        leave: (instance: number, callId: string): void => {
            group.give(instance, { kind: "callerLeft", callId: brandAs<RequestId>(callId) });
            endRuns(callId);
        },
        sendCall: (instance: number, prompt: VirtualPrompt, timeoutMs = 60_000): string => {
            sequence += 1;
            const callId = brandAs<RequestId>(`c${sequence}`);
            prompts.set(callId, prompt);
            const metadata = createServiceCall(callId, callId, now(), { kind: "streaming", timeoutMs, latencyTargetMs: timeoutMs, maxAttempts: 1 });
            const { outputTokens, expectedTokens, parts } = prompt;
            group.give(instance, {
                kind: "call",
                metadata: { ...metadata, service: "llm", model: "m", promptTokens: prompt.tokens, outputTokens, expectedTokens, promptParts: parts },
            });
            return callId;
        },
    };
};
