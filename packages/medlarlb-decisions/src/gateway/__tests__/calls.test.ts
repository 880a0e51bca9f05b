import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import type { GatewayCommand } from "../gatewayCommand.js";
import { createTestGateway } from "./support/createTestGateway.js";

const callId = brandAs<RequestId>("c1");

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
        const { step, call, createFailure, createCheck, repeatStep, listSends, listStatuses } = createTestGateway({});
        const first = call();
        expect(first.copyToAddress).to.be.a("string");
        step({ kind: "begun", callId, attempt: 1 });
        const [second] = listSends([...step(createFailure(1, "unknown", "cut")), ...step(createCheck("ended")), ...repeatStep()]);
        expect(second).to.include({ fromCopy: true, address: first.copyToAddress });
        const commands = [...step(createFailure(2, "no", "notHeld")), ...repeatStep()];
        expect(listSends(commands)).to.deep.equal([]);
        expect(listStatuses(commands)).to.deep.equal([502]);
    });

    it("has the copy of a stream's state kept, and the stream resumed, only by an engine of its software version", () => {
        const { step, call, createFailure, createCheck, repeatStep, listSends } = createTestGateway({}, ["v1", "v2", "v1"]);
        const first = call();
        const copyTo = { "10.0.0.0:80": "10.0.0.2:80", "10.0.0.1:80": undefined, "10.0.0.2:80": "10.0.0.0:80" }[first.address];
        expect(first.copyToAddress).to.equal(copyTo);
        step({ kind: "begun", callId, attempt: 1 });
        const sends = listSends([...step(createFailure(1, "unknown", "cut")), ...step(createCheck("ended")), ...repeatStep()]);
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
