import { expect } from "chai";
import { createTestGateway } from "./support/createTestGateway.js";

/** Steps of 10 ms in which a run becomes older than any report, and in which a caller's patience ends. */
const OLD_RUN_STEPS = 60;
const PATIENCE_STEPS = 330;

/** Begins a stream, lets it run for some steps of 10 ms, and ends its connection. */
const cutStream = (runSteps = OLD_RUN_STEPS) => {
    const gateway = createTestGateway({});
    const first = gateway.call();
    gateway.step({ kind: "begun", callId: gateway.callId, attempt: 1 });
    gateway.repeatStep(runSteps);
    return { ...gateway, first, cutCommands: gateway.step(gateway.createFailure(1, "unknown", "cut")) };
};

// TWICE: a stream went on at the engine with its copy while the first engine, which didn't drop it with its connection, worked on it.
describe("A stream whose connection has ended", () => {
    it("isn't resumed before its engine has been asked for it", () => {
        const { first, cutCommands, listSends, listChecks, repeatStep } = cutStream();
        const { targetId, address } = first;
        expect(listChecks(cutCommands)).to.deep.equal([
            { kind: "checkRun", callId: "c1", attempt: 1, targetId, address, callerRequestId: "r1", delayMs: 0 },
        ]);
        expect(listSends([...cutCommands, ...repeatStep()])).to.deep.equal([]);
    });

    for (const state of ["ended", "unreachable", "notListed"] as const) {
        it(`is resumed from its copy at once when the check says "${state}"`, () => {
            const { first, step, createCheck, listSends } = cutStream();
            expect(listSends(step(createCheck(state)))[0]).to.include({ fromCopy: true, address: first.copyToAddress });
        });
    }

    it("is checked again while a report lists its run, and resumed when one doesn't", () => {
        const { step, createCheck, listSends, listChecks } = cutStream(1);
        for (const state of ["listed", "unknown", "listed"] as const) {
            const commands = step(createCheck(state));
            expect(listSends(commands)).to.deep.equal([]);
            expect(listChecks(commands)).to.have.length(1);
        }
        expect(listSends(step(createCheck("notListed")))).to.have.length(1);
    });

    it("isn't resumed because a report that may be older than its run doesn't list it", () => {
        const { step, createCheck, listSends, listChecks, repeatStep } = cutStream(1);
        const commands = step(createCheck("notListed"));
        expect(listSends(commands)).to.deep.equal([]);
        expect(listChecks(commands)).to.have.length(1);
        repeatStep(OLD_RUN_STEPS);
        expect(listSends(step(createCheck("notListed")))).to.have.length(1);
    });

    it("ends at once when its engine goes on with the run without its connection", () => {
        const { step, createCheck, repeatStep, listSends, listStatuses } = cutStream();
        step(createCheck("listed"));
        repeatStep(OLD_RUN_STEPS);
        const commands = step(createCheck("listed"));
        expect(listStatuses(commands)).to.deep.equal([502]);
        expect(listSends([...commands, ...repeatStep(), ...step(createCheck("notListed"))])).to.deep.equal([]);
    });

    it("ends when its engine gives no report until the caller's patience is over", () => {
        const { step, createCheck, repeatStep, listChecks, listStatuses } = cutStream();
        expect(listChecks(step(createCheck("unknown")))).to.have.length(1);
        repeatStep(PATIENCE_STEPS);
        expect(listStatuses(step(createCheck("unknown")))).to.deep.equal([502]);
    });

    it("isn't resumed after its caller has left", () => {
        const { callId, step, createCheck, repeatStep, listSends } = cutStream();
        step({ kind: "callerLeft", callId });
        expect(listSends([...step(createCheck("ended")), ...repeatStep()])).to.deep.equal([]);
    });

    it("is resumed without a check when the end of its engine is known", () => {
        const gateway = createTestGateway({});
        const { targetId } = gateway.call();
        gateway.step({ kind: "begun", callId: gateway.callId, attempt: 1 });
        gateway.step({
            kind: "observations",
            observations: [{ kind: "ended", targetId, startedAtMs: 0, fingerprints: [] }],
            reporterZone: undefined,
            ageMs: 0,
        });
        const commands = gateway.step(gateway.createFailure(1, "unknown", "cut"));
        expect(gateway.listChecks(commands)).to.deep.equal([]);
        expect(gateway.listSends(commands)).to.have.length(1);
    });
});
