import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import type { Route } from "medlarlb-types/route";
import { createGatewayDecisions } from "../createGatewayDecisions.js";
import type { GatewayCommand } from "../gatewayCommand.js";
import type { GatewayInput } from "../gatewayInput.js";
import { createSettings } from "./support/createSettings.js";
import { joinGroup } from "./support/joinGroup.js";

type Send = Extract<GatewayCommand, { kind: "send" }>;

const callId = brandAs<RequestId>("c1");

const createTestGateway = (route: Partial<Route>, softwareVersions: (string | undefined)[] = ["v1", "v1", "v1"]) => {
    let nowMs = 1_000;
    const decisions = createGatewayDecisions(createSettings("i1", "z"), () => 0.5);
    joinGroup(decisions, { kind: "instances", count: 1, listed: [brandAs("i1")], planners: new Map(), members: [], zoneOrder: [] }, nowMs);
    const step = (...inputs: GatewayInput[]): GatewayCommand[] => {
        nowMs += 10;
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
    /** Runs several steps without inputs and returns their commands. */
    const repeatStep = (stepCount = 20): GatewayCommand[] => Array.from({ length: stepCount }, () => step()).flat();
    return { view: decisions.view, step, call, createFailure, repeatStep, listSends, listStatuses };
};

describe("call attempts", () => {
    it("sends a call again when a target refuses it without having run it", () => {
        const { step, call, createFailure, repeatStep, listSends } = createTestGateway({});
        call();
        expect(listSends([...step(createFailure(1, "no", "full")), ...repeatStep()])).to.have.length(1);
    });

    it("ends a call with 502 when its request can't be repeated and may have run", () => {
        const { step, call, createFailure, repeatStep, listSends, listStatuses } = createTestGateway({});
        call();
        const commands = [...step(createFailure(1, "unknown", "cut")), ...repeatStep()];
        expect(listSends(commands)).to.deep.equal([]);
        expect(listStatuses(commands)).to.deep.equal([502]);
    });

    it("resumes a stream from its copy when its engine is lost, and ends it with 502 when the copy is refused", () => {
        const { step, call, createFailure, repeatStep, listSends, listStatuses } = createTestGateway({});
        const first = call();
        expect(first.copyToAddress).to.be.a("string");
        step({ kind: "begun", callId, attempt: 1 });
        const [second] = listSends([...step(createFailure(1, "unknown", "cut")), ...repeatStep()]);
        expect(second).to.include({ fromCopy: true, address: first.copyToAddress });
        const commands = [...step(createFailure(2, "no", "notHeld")), ...repeatStep()];
        expect(listSends(commands)).to.deep.equal([]);
        expect(listStatuses(commands)).to.deep.equal([502]);
    });

    it("has the copy of a stream's state kept, and the stream resumed, only by an engine of its software version", () => {
        const { step, call, createFailure, repeatStep, listSends } = createTestGateway({}, ["v1", "v2", "v1"]);
        const first = call();
        const copyTo = { "10.0.0.0:80": "10.0.0.2:80", "10.0.0.1:80": undefined, "10.0.0.2:80": "10.0.0.0:80" }[first.address];
        expect(first.copyToAddress).to.equal(copyTo);
        step({ kind: "begun", callId, attempt: 1 });
        const sends = listSends([...step(createFailure(1, "unknown", "cut")), ...repeatStep()]);
        expect(sends.map(send => send.address)).to.deep.equal(copyTo === undefined ? [] : [copyTo]);
    });

    it("has no copy of a stream's state kept where only engines of other software versions, or of none, hold the model", () => {
        expect(createTestGateway({}, ["v1", "v2", "v3"]).call().copyToAddress).to.equal(undefined);
        expect(createTestGateway({}, [undefined, undefined, undefined]).call().copyToAddress).to.equal(undefined);
    });

    it("ends a resumable stream at once when no target of the software version that began it is left", () => {
        const { step, call, createFailure, repeatStep, listSends, listStatuses } = createTestGateway({ resumable: true, maxAttempts: 3 }, ["v1", "v2", "v3"]);
        call();
        step({ kind: "begun", callId, attempt: 1 });
        const commands = [...step(createFailure(1, "unknown", "cut")), ...repeatStep()];
        expect(listSends(commands)).to.deep.equal([]);
        expect(listStatuses(commands)).to.deep.equal([502]);
    });

    it("sends a resumable stream that broke before its first event to a target of any software version", () => {
        const { step, call, createFailure, repeatStep, listSends } = createTestGateway({ resumable: true, maxAttempts: 3 }, ["v1", "v2", "v3"]);
        call();
        expect(listSends([...step(createFailure(1, "unknown", "cut")), ...repeatStep()])).to.have.length(1);
    });

    it("sends a resumable stream to no more targets than its route allows", () => {
        const { step, call, createFailure, repeatStep, listSends, listStatuses } = createTestGateway({ resumable: true, maxAttempts: 2 });
        call();
        step({ kind: "begun", callId, attempt: 1 });
        expect(listSends([...step(createFailure(1, "unknown", "cut")), ...repeatStep()])).to.have.length(1);
        const commands = [...step(createFailure(2, "unknown", "cut")), ...repeatStep()];
        expect(listSends(commands)).to.deep.equal([]);
        expect(listStatuses(commands)).to.deep.equal([502]);
    });

    it("continues a stream that breaks after the time by which its first event was due", () => {
        const { step, call, createFailure, repeatStep, listSends } = createTestGateway({ resumable: true, maxAttempts: 2 });
        call();
        step({ kind: "begun", callId, attempt: 1 });
        repeatStep(400);
        expect(listSends([...step(createFailure(1, "unknown", "garbled")), ...repeatStep()])).to.have.length(1);
    });

    it("spends the retry budget on refused attempts, and answers 503 (not run) when it is used up", () => {
        const { step, call, createFailure, repeatStep, listSends, listStatuses } = createTestGateway({});
        call();
        let attempt = 1;
        let commands: GatewayCommand[] = [];
        for (; attempt < 80; attempt += 1) {
            commands = [...step(createFailure(attempt, "no", "full")), ...repeatStep(4)];
            if (listSends(commands).length === 0) {
                break;
            }
        }
        // A single instance has the whole fixed allowance of 56 retries, and no other requests that add to it.
        expect(attempt).to.be.within(20, 57);
        expect(listStatuses(commands)).to.deep.equal([503]);
    });

    it("neither retries nor answers a call whose caller has left", () => {
        const { step, call, repeatStep, listSends, listStatuses } = createTestGateway({});
        call();
        const commands = [...step({ kind: "callerLeft", callId }), ...repeatStep()];
        expect([...listSends(commands), ...listStatuses(commands)]).to.deep.equal([]);
    });

    it("counts a retry whose caller leaves while it waits for a window, not for ever", () => {
        const { view, step, call, createFailure } = createTestGateway({});
        call();
        step(createFailure(1, "no", "full"));
        expect(view().retryBudgets.get("llm")).to.deep.include({ waiting: 1 });
        step({ kind: "callerLeft", callId });
        const budget = view().retryBudgets.get("llm");
        expect(budget?.waiting).to.equal(0);
        expect(budget?.buckets.reduce((sum, each) => sum + each.retries, 0)).to.equal(1);
    });
});
