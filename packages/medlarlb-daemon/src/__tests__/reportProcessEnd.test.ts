import { spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync } from "node:fs";
import { expect } from "chai";

const FIXTURE = "packages/medlarlb-daemon/src/__tests__/support/endingProcess.ts";

const runUntilEnd = (end: string) => {
    const { status, stdout, stderr } = spawnSync(process.execPath, ["--import=tsx", FIXTURE, end], { encoding: "utf8" });
    const lines = stdout.trim().split("\n").map(line => JSON.parse(line) as Record<string, unknown>);
    return { status, lines, stderr };
};

describe("The log of a process that ends", () => {
    for (const [end, reason, origin] of [
        ["thrown", "RangeError: nothing catches this", "uncaughtException"],
        ["rejected", "TypeError: nobody waits for this", "unhandledRejection"],
    ] as const) {
        // FAULT: the reason stood in standard error only, and the last lines of the log were lost.
        it(`has its last lines and the reason when an error is ${end} that nothing handles`, () => {
            const { status, lines, stderr } = runUntilEnd(end);
            expect(status).to.equal(1);
            expect(lines.map(line => line.event)).to.deep.equal(["lastLine", "crashed", "exited"]);
            expect(lines[1]).to.include({ level: "fatal", instance: "10.0.0.1:7080", reason, origin });
            expect(lines[1]?.stack).to.have.property("length").above(0);
            expect(lines[2]).to.include({ status: 1 });
            expect(lines[2]).to.include.keys("uptimeMs", "residentMb", "heapMb", "heapLimitMb", "sockets");
            expect(stderr).to.include(reason);
        }).timeout(10_000);
    }

    for (const [end, expectedStatus] of [["exit", 4], ["nothingLeft", 0]] as const) {
        it(`has its last lines and the status after the end "${end}"`, () => {
            const { status, lines } = runUntilEnd(end);
            expect(status).to.equal(expectedStatus);
            expect(lines.map(line => line.event)).to.deep.equal(["lastLine", "exited"]);
            expect(lines[1]).to.include({ status: expectedStatus });
        }).timeout(10_000);
    }

    // FAULT: an error of standard output ended the process, and the last lines were tried for ever once it could take none.
    for (const [end, expectedStatus] of [["late", 4], ["exit", 4], ["thrown", 1]] as const) {
        it(`doesn't change or hold up the end "${end}" if its device is full`, async () => {
            const fd = openSync("/dev/full", "w");
            const child = spawn(process.execPath, ["--import=tsx", FIXTURE, end], { stdio: ["ignore", fd, "ignore"], timeout: 5_000 });
            closeSync(fd);
            expect((await once(child, "exit"))[0]).to.equal(expectedStatus);
        }).timeout(10_000);

        it(`doesn't change or hold up the end "${end}" if its reader has gone`, async () => {
            const child = spawn(process.execPath, ["--import=tsx", FIXTURE, end], { stdio: ["ignore", "pipe", "ignore"], timeout: 5_000 });
            child.stdout.destroy();
            expect((await once(child, "exit"))[0]).to.equal(expectedStatus);
        }).timeout(10_000);
    }

    it("doesn't hold up the end of a process if nobody reads from its pipe, which is full", async () => {
        const child = spawn(process.execPath, ["--import=tsx", FIXTURE, "flooded"], { stdio: ["ignore", "pipe", "ignore"], timeout: 5_000 });
        child.stdout.pause();
        expect((await once(child, "exit"))[0]).to.equal(4);
        child.stdout.destroy();
    }).timeout(10_000);
});
