import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { GatewayCommand } from "medlarlb-decisions/gateway/gatewayCommand";
import type { GatewayInput } from "medlarlb-decisions/gateway/gatewayInput";
import { createCommandExecutor } from "../gateway/createCommandExecutor.js";

const fail = (): never => {
    throw new TypeError("nobody has foreseen this");
};
const reject = (): Promise<never> => Promise.reject(new TypeError("nobody has foreseen this"));

describe("createCommandExecutor", () => {
    const createFailing = () => {
        const pushed: GatewayInput[] = [];
        const events: Record<string, unknown>[] = [];
        const execute = createCommandExecutor({
            callProxy: { send: fail, abort: fail, answer: fail } as never,
            peers: { send: fail } as never,
            observationGossip: { publish: fail },
            engines: { order: reject, report: reject, findRun: reject } as never,
            plannerLease: { isValid: () => true },
            confirmList: fail,
            orderMs: { observe: fail } as never,
            now: () => 1,
            push: input => pushed.push(input),
            logEvent: (event, fields) => events.push({ event, ...fields }),
        });
        return { execute, pushed, events };
    };
    const address = "127.0.0.1:1";

    // FAULT: the error, or the rejection of a promise that nobody awaited, ended the process.
    for (const [command, expected] of [
        [{ kind: "send", callId: "c1", targetId: "t1" }, { kind: "commandFailed", callId: "c1" }],
        [{ kind: "order", targetId: "t1", address, order: {} }, { kind: "ordered", targetId: "t1", answer: "unknown" }],
        [{ kind: "report", targetId: "t1", address }, { kind: "reportFailed", targetId: "t1" }],
        [{ kind: "checkRun", callId: "c1", attempt: 1, address, delayMs: 0 }, { kind: "runChecked", callId: "c1", attempt: 1, state: "ended" }],
        [{ kind: "answer", callId: "c1" }, undefined],
        [{ kind: "abort", callId: "c1", attempt: 1 }, undefined],
        [{ kind: "shareStatus", to: ["i2"], status: {} }, undefined],
    ] as const) {
        it(`logs the failure of the command "${command.kind}" and reports it to the decisions if they wait for the result`, async () => {
            const { execute, pushed, events } = createFailing();
            execute(command as unknown as GatewayCommand);
            await sleep(50);
            expect(events).to.have.lengthOf(1);
            const failure = { event: "itemFailed", item: "command", kind: command.kind, reason: "TypeError: nobody has foreseen this" };
            expect(events[0]).to.deep.include(failure);
            expect(events[0]?.stack).to.have.property("length").above(0);
            expect(pushed).to.have.lengthOf(expected === undefined ? 0 : 1);
            if (expected !== undefined) {
                expect(pushed[0]).to.deep.include(expected);
            }
        });
    }
});
