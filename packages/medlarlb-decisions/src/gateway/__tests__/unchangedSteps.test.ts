import { expect } from "chai";
import { createVirtualDeployment } from "./support/createVirtualDeployment.js";

/** Creates a deployment whose only engine for `m0` has more calls than it takes, and counts the draws of random numbers. */
const createBusyDeployment = () => {
    const route = { timeoutMs: 60_000, latencyTargetMs: 60_000 };
    const deployment = createVirtualDeployment({ seed: 3, zones: 1, enginesPerZone: 2, models: 6, route });
    deployment.run(500);
    for (let call = 0; call < 20; call += 1) {
        deployment.sendCall(0, "m0");
    }
    deployment.run(10);
    const { decisions } = deployment.instances[0] ?? expect.fail("there is no instance");
    const waiting = () => [...decisions.view().calls.values()].filter(row => row.currentAttempt === undefined);
    return { deployment, decisions, waiting };
};

describe("a step of the decisions", () => {
    it("examines no waiting call if nothing that it waits for has changed", () => {
        const { deployment, decisions, waiting } = createBusyDeployment();
        expect(waiting()).to.have.length.above(10);
        const drawsBefore = deployment.draws();
        const nowMs = deployment.now();
        const idleEngine = deployment.engines[1]?.entry().targetId as never;
        decisions.step(nowMs, []);
        decisions.step(nowMs, [{ kind: "contact", targetId: idleEngine, atMs: nowMs }]);
        decisions.step(nowMs, [{ kind: "load", targetId: idleEngine, running: 1, waiting: 0, slots: 64 }]);
        expect(deployment.draws() - drawsBefore).to.equal(0);
    });

    it("examines the waiting calls of an engine's models when one of its answers starts", () => {
        const { deployment, decisions, waiting } = createBusyDeployment();
        const [running] = [...decisions.view().calls.values()].filter(row => row.currentAttempt !== undefined);
        const count = waiting().length;
        decisions.step(deployment.now(), [{ kind: "begun", callId: running?.metadata.callId as never, attempt: 1 }]);
        expect(waiting()).to.have.lengthOf(count - 1);
    });

    it("is due again when a waiting call could be sent because other instances' load has drained, and before its deadline", () => {
        const { deployment, decisions } = createBusyDeployment();
        const dueMs = decisions.nextStepAtMs();
        expect(dueMs).to.be.above(deployment.now()).and.at.most(deployment.now() + 50);
    });
});
