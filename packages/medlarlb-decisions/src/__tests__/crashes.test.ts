import type { AttemptEvent } from "medlarlb-types/attemptEvent";
import { expect } from "chai";
import { createDriver } from "./support/createDriver.js";

const BROKEN = { kind: "broken", reason: "reset", delivered: 5, resumable: false, connectionRefused: true } as const;

const breakFirstAttempt = (nonIdempotent: boolean, event: AttemptEvent) => {
    const driver = createDriver({
        targets: [{ id: "e1" }, { id: "e2" }],
        models: { aurora: { bytes: 100 } },
    });
    driver.becomeOwner({ e1: [["model/aurora@v1", 100]], e2: [["model/aurora@v1", 100]] });
    const getRuns = (commands: ReturnType<typeof driver.give>) => commands.flatMap(each => (each.kind === "run" ? [each] : []));
    const firstRun = getRuns(driver.give({
        kind: "request",
        request: {
            requestId: "r1" as never,
            name: "aurora",
            kind: "inference",
            arrivedAtMs: driver.now(),
            deadlineAtMs: driver.now() + 30_000,
            priority: 0,
            nonIdempotent,
            streaming: true,
            fingerprint: "f1" as never,
        },
    }))[0];
    expect(firstRun, "the first attempt").not.to.equal(undefined);
    const commands = driver.give({ kind: "attempt", requestId: "r1" as never, attemptId: firstRun?.attemptId as never, event });
    return { secondRun: getRuns(commands)[0], refused: commands.find(each => each.kind === "refuse") };
};

describe("a streamed answer that breaks off", () => {
    it("is continued by another run if the request is idempotent, although the caller has part of it", () => {
        const { secondRun, refused } = breakFirstAttempt(false, BROKEN);
        expect(refused).to.equal(undefined);
        expect(secondRun?.kind).to.equal("run");
    });

    it("ends with an error that says it may have run if the request is non-idempotent", () => {
        const { secondRun, refused } = breakFirstAttempt(true, BROKEN);
        expect(secondRun).to.equal(undefined);
        expect(refused).to.have.nested.property("problem.ran", "unknown");
    });

    it("ends with an error if the answer of another run begins differently", () => {
        const { secondRun, refused } = breakFirstAttempt(false, { ...BROKEN, connectionRefused: false, prefixMismatch: true });
        expect(secondRun).to.equal(undefined);
        expect(refused).to.have.nested.property("problem.ran", "unknown");
    });
});
