import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import { createGatewayDecisions } from "../createGatewayDecisions.js";
import type { GatewayCommand } from "../gatewayCommand.js";
import type { GatewayInput } from "../gatewayInput.js";
import { createPlainTarget } from "./support/createPlainTarget.js";
import { createServiceCall } from "./support/createServiceCall.js";
import { createSettings } from "./support/createSettings.js";
import { joinGroup } from "./support/joinGroup.js";

const STEP_MS = 10;
const STOOD_STILL_MS = 2_100;
/** Longest time in ms until a take-up whose version isn't proved is refused. */
const REFUSED_MS = 800;
const ROUTE = { kind: "streaming", resumable: true, maxAttempts: 3, timeoutMs: 6_000, latencyTargetMs: 800 } as const;

/** Creates the decisions of one instance that lists targets of two versions, and knows that `v2` began the stream `r1`. */
const createInstance = () => {
    let nowMs = 20_000;
    const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
    const entryOf = (id: string, softwareVersion: string, startedAtMs: number): GatewayInput =>
        ({ kind: "target", entry: createPlainTarget({ id, index: Number(id.slice(1)), zone: "z1", slots: 8, softwareVersion, startedAtMs }) });
    const step = (...inputs: GatewayInput[]): GatewayCommand[] => {
        nowMs += STEP_MS;
        return decisions.step(nowMs, inputs);
    };
    const contact = (): GatewayInput => ({ kind: "listContact", atMs: nowMs, isProved: true });
    joinGroup(decisions, { kind: "instances", count: 1, listed: [brandAs("i1")], planners: new Map(), members: [], zoneOrder: [] }, nowMs);
    step(entryOf("t1", "v1", 1), entryOf("t2", "v2", 1), contact());
    step({ kind: "streamOrigins", origins: [{ requestId: "r1", service: "app", softwareVersion: "v2", keptForMs: 10_000 }] });
    return {
        step,
        entryOf,
        contact,
        /** Lets time pass without steps, as while the process is frozen. */
        standStill: (): void => {
            nowMs += STOOD_STILL_MS;
        },
        wait: (ms: number): GatewayCommand[] => Array.from({ length: ms / STEP_MS }, () => step()).flat(),
        createCall: (): GatewayInput => ({
            kind: "call",
            metadata: { ...createServiceCall(brandAs<RequestId>("c1"), "content", nowMs, ROUTE), resumedStream: { requestId: "r1" } },
        }),
    };
};

const listTargets = (commands: GatewayCommand[]): string[] => commands.flatMap(each => (each.kind === "send" ? [each.targetId] : []));
const listReasons = (commands: GatewayCommand[]): string[] =>
    commands.flatMap(each => (each.kind === "answer" ? [`${each.status} ${each.reason}`] : []));
const countConfirmations = (commands: GatewayCommand[]): number => commands.filter(each => each.kind === "confirmList").length;

describe("a stream whose beginning is known, taken up at an instance", () => {
    it("goes on at once while the list is recent, without a call to the store", () => {
        const { step, createCall } = createInstance();
        const commands = step(createCall());
        expect(listTargets(commands)).to.deep.equal(["t2"]);
        expect(countConfirmations(commands)).to.equal(0);
    });

    // ORDER: an instance that had stood still sent it to a target that had come back at another version under its id.
    it("that stood still waits for the list, and doesn't go on at a target that has come back at another version", () => {
        const { step, wait, standStill, entryOf, contact, createCall } = createInstance();
        standStill();
        const commands = [...step(createCall()), ...wait(200)];
        expect(listTargets(commands)).to.deep.equal([]);
        expect(countConfirmations(commands)).to.equal(1);
        const answers = [...step(entryOf("t2", "v1", 2), contact()), ...wait(100)];
        expect(listTargets(answers)).to.deep.equal([]);
        expect(listReasons(answers)).to.deep.equal(["503 no target of software version v2, which began this stream, is left for it; begin it anew"]);
    });

    it("that stood still goes on when the list shows that its target still runs", () => {
        const { step, wait, standStill, contact, createCall } = createInstance();
        standStill();
        step(createCall());
        expect(listTargets([...step(contact()), ...wait(100)])).to.deep.equal(["t2"]);
    });

    it("goes on while the store is away, since nothing has come back there unseen", () => {
        const { step, wait, createCall } = createInstance();
        const commands = [...wait(STOOD_STILL_MS), ...step(createCall())];
        expect(listTargets(commands)).to.deep.equal(["t2"]);
    });

    it("that stood still and is cut off from the store and all others is refused as not run within 800 ms", () => {
        const { step, wait, standStill, createCall } = createInstance();
        standStill();
        const commands = [...step(createCall()), ...wait(REFUSED_MS)];
        expect(listTargets(commands)).to.deep.equal([]);
        expect(listReasons(commands)).to.deep.equal([
            "503 this instance has stood still, and the list doesn't yet prove the software versions of targets; begin this stream anew",
        ]);
    });
});
