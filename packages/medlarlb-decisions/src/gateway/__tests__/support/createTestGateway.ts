import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import type { Route } from "medlarlb-types/route";
import type { RunState } from "medlarlb-types/runState";
import { createGatewayDecisions } from "../../createGatewayDecisions.js";
import type { GatewayCommand } from "../../gatewayCommand.js";
import type { GatewayInput } from "../../gatewayInput.js";
import { createSettings } from "./createSettings.js";
import { joinGroup } from "./joinGroup.js";

type Send = Extract<GatewayCommand, { kind: "send" }>;
type CheckRun = Extract<GatewayCommand, { kind: "checkRun" }>;

const callId = brandAs<RequestId>("c1");
const STEP_MS = 10;

/**
 * Creates the decisions of one instance before three engines that hold one model, which make copies of their runs. `call` sends a
 * stream of 200 tokens on a route.
 */
export const createTestGateway = (
    route: Partial<Route>,
    softwareVersions: (string | undefined)[] = ["v1", "v1", "v1"],
    onInputError?: Parameters<typeof createGatewayDecisions>[2],
) => {
    let nowMs = 1_000;
    const decisions = createGatewayDecisions(createSettings("i1", "z"), () => 0.5, onInputError);
    joinGroup(decisions, { kind: "instances", count: 1, listed: [brandAs("i1")], planners: new Map(), members: [], zoneOrder: [] }, nowMs);
    const step = (...inputs: GatewayInput[]): GatewayCommand[] => {
        nowMs += STEP_MS;
        return decisions.step(nowMs, inputs);
    };
    const models = new Map([["m", { name: "m", weightsMb: 1, adapterMb: 0, storeLoadMs: 1, diskLoadMs: 1, memoryLoadMs: 1 }]]);
    const engine = { slots: 64, contextTokens: 100_000, weightsMb: 10, adapterSlots: 0, storeLoadsPerSecond: 1, copiesRuns: true, models };
    step({
        kind: "config",
        config: {
            version: 1,
            routes: [],
            services: new Map([["llm", { name: "llm", healthPath: "/", maxConnections: 9, engine }]]),
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        },
    }, ...["e1", "e2", "e3"].map((id, index): GatewayInput => ({
        kind: "target",
        entry: {
            targetId: id as never,
            service: "llm",
            address: `10.0.0.${index}:80`,
            zone: "z" as never,
            softwareVersion: softwareVersions[index],
            slots: 64,
            leaving: false,
            startedAtMs: 0,
            remainingMs: undefined,
            models: [{ name: "m", version: 1, adapters: [] }],
            inMemory: [],
            onDisk: [],
        },
    })));
    const listSends = (commands: GatewayCommand[]): Send[] => commands.filter((each): each is Send => each.kind === "send");
    const listStatuses = (commands: GatewayCommand[]) => commands.flatMap(each => (each.kind === "answer" ? [each.status] : []));
    const call = (): Send => {
        const fullRoute: Route = {
            name: "r",
            host: "h",
            prefix: "/",
            kind: "streaming",
            timeoutMs: 9_000,
            latencyTargetMs: 800,
            gapTargetMs: 400,
            priority: 1,
            maxAttempts: 1,
            resumable: false,
            destinations: [],
            ...route,
        };
        const sent = listSends(step({
            kind: "call",
            metadata: {
                callId,
                fingerprint: brandAs(callId),
                callerRequestId: "r1",
                route: fullRoute,
                service: "llm",
                model: "m",
                adapter: undefined,
                promptTokens: 1_000,
                outputTokens: 200,
                expectedTokens: 200,
                promptParts: [],
                arrivedAtMs: nowMs,
                latencyTargetAtMs: nowMs + 800,
                firstEventDeadlineAtMs: nowMs + 3_200,
                deadlineAtMs: nowMs + 9_000,
            },
        }))[0];
        if (sent === undefined) {
            throw new Error("the gateway sent no request for the call");
        }
        return sent;
    };
    const createFailure = (attempt: number, ran: "no" | "unknown", cause: "cut" | "full" | "notHeld" | "garbled"): GatewayInput =>
        ({ kind: "failed", callId, attempt, ran, cause, reason: "test" });
    /** The result of a check, requested now, whether the engine of the first attempt still runs it. */
    const createCheck = (state: RunState): GatewayInput => ({ kind: "runChecked", callId, attempt: 1, state, requestedAtMs: nowMs });
    const listChecks = (commands: GatewayCommand[]): CheckRun[] => commands.filter((each): each is CheckRun => each.kind === "checkRun");
    /** Runs several steps without inputs and returns their commands. */
    const repeatStep = (stepCount = 20): GatewayCommand[] => Array.from({ length: stepCount }, () => step()).flat();
    return {
        callId,
        view: decisions.view,
        step,
        call,
        createFailure,
        createCheck,
        listChecks,
        repeatStep,
        listSends,
        listStatuses,
    };
};
