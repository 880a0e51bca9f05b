import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import { createGatewayDecisions } from "../createGatewayDecisions.js";
import { dropFailedInput } from "../dropFailedInput.js";
import type { GatewayCommand } from "../gatewayCommand.js";
import type { GatewayInput } from "../gatewayInput.js";
import { createSettings } from "./support/createSettings.js";
import { createTestGateway } from "./support/createTestGateway.js";

/** A value of an input that its handler can't use, as after a fault that nobody has foreseen. */
const failing = (): never => {
    throw new TypeError("the value can't be used");
};

const listAnswers = (commands: readonly GatewayCommand[]) =>
    commands.flatMap(each => (each.kind === "answer" ? [{ callId: each.callId, status: each.status }] : []));

const listFailures = (commands: readonly GatewayCommand[]) =>
    commands.flatMap(each => (each.kind === "log" && each.event === "itemFailed" ? [each.fields] : []));

describe("An input whose handler throws an error", () => {
    const route = { kind: "streaming", maxAttempts: 3 } as const;
    const start = () => {
        const gateway = createTestGateway(route, undefined, dropFailedInput);
        return { gateway, sent: gateway.call() };
    };
    /** Returns an input whose field throws when it is read. */
    const createFailing = (input: object, field: string): GatewayInput =>
        Object.defineProperty({ ...input }, field, { get: failing, enumerable: true }) as GatewayInput;

    it("ends the step of decisions that aren't told how to go on, so that tests notice it", () => {
        const decisions = createGatewayDecisions(createSettings("i1", "z1"), () => 0.5);
        expect(() => decisions.step(1, [createFailing({ kind: "target" }, "entry")])).to.throw("the value can't be used");
    });

    // FAULT: the process ended, with all requests that it had.
    it("costs neither the inputs before it nor those after it", () => {
        const { gateway } = start();
        const broken = createFailing({ kind: "observations", reporterZone: undefined, ageMs: 0 }, "observations");
        const commands = gateway.step({ kind: "targetGone", targetId: brandAs("e2") }, broken, { kind: "targetGone", targetId: brandAs("e3") });
        expect([...gateway.view().targets.keys()]).to.deep.equal(["e1"]);
        expect(listFailures(commands)).to.have.lengthOf(1);
        expect(listFailures(commands)[0]).to.deep.include({ item: "input", kind: "observations", reason: "TypeError: the value can't be used" });
        expect(listFailures(commands)[0]?.stack).to.have.property("length").above(0);
    });

    it("answers a new call with 503, since it hasn't run", () => {
        const { gateway } = start();
        const metadata = createFailing({ callId: "c2", callerRequestId: "r2" }, "promptParts");
        const commands = gateway.step({ kind: "call", metadata: metadata as never });
        expect(listAnswers(commands)).to.deep.equal([{ callId: "c2", status: 503 }]);
        expect(listFailures(commands)[0]).to.deep.include({ kind: "call", request: "r2" });
        expect([...gateway.view().calls.keys()]).to.deep.equal([gateway.callId]);
    });

    for (const [kind, field] of [["failed", "ran"], ["foreignAnswer", "evidence"], ["begun", "attempt"]] as const) {
        it(`answers a call that has been sent with 502 and releases its target if it is "${kind}"`, () => {
            const { gateway, sent } = start();
            const input = { kind, callId: gateway.callId, attempt: sent.attempt, targetId: sent.targetId, cause: "cut", reason: "test" };
            const commands = gateway.step(createFailing(input, field));
            expect(listFailures(commands)[0]).to.deep.include({ kind, request: "r1" });
            expect(listAnswers(commands)).to.deep.equal([{ callId: gateway.callId, status: 502 }]);
            expect(gateway.view().calls.size).to.equal(0);
            expect(gateway.view().targets.get(sent.targetId)?.activeAttempts.size).to.equal(0);
        });
    }

    it("removes a finished call, whose caller has its answer, without another one", () => {
        const { gateway, sent } = start();
        const commands = gateway.step(createFailing({ kind: "finished", callId: gateway.callId, attempt: sent.attempt, longestGapMs: 0 }, "status"));
        expect(listFailures(commands)).to.have.lengthOf(1);
        expect(listAnswers(commands)).to.deep.equal([]);
        expect(gateway.view().calls.size).to.equal(0);
    });

    it("takes a target for none whose entry it can't apply, and the next entry for that of a new one", () => {
        const { gateway } = start();
        const { entry } = gateway.view().targets.get(brandAs("e2")) ?? {};
        const broken = createFailing({ ...entry, startedAtMs: 7 }, "models");
        expect(listFailures(gateway.step({ kind: "target", entry: broken as never }))).to.have.lengthOf(1);
        expect([...gateway.view().targets.keys()]).to.deep.equal(["e1", "e3"]);
        const commands = gateway.step({ kind: "target", entry: { ...entry, startedAtMs: 7 } as never });
        expect(commands.some(each => each.kind === "log" && each.event === "targetFound")).to.equal(true);
        expect([...gateway.view().pools.values()].every(pool => [...pool.targets].some(each => each.entry.targetId === "e2"))).to.equal(true);
    });

    it("ends a call whose command has failed", () => {
        const { gateway } = start();
        const commands = gateway.step({ kind: "commandFailed", callId: gateway.callId });
        expect(listAnswers(commands)).to.deep.equal([{ callId: gateway.callId, status: 502 }]);
        expect(listAnswers(gateway.step({ kind: "commandFailed", callId: brandAs<RequestId>("unknown") }))).to.deep.equal([]);
    });
});
