import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { findFreePort } from "../cluster/findFreePort.js";
import { waitFor } from "../cluster/waitFor.js";
import { createGatewaySettings } from "./support/createGatewaySettings.js";

const GATEWAY_SCRIPT = "packages/medlarlb-daemon/lib/gatewayMain.js";
/** The platform kills a process that hasn't ended this time in ms after the signal. */
const KILL_AFTER_MS = 8_000;
/** Time in ms within which a signal ends a process that doesn't handle it. */
const SIGNAL_MS = 300;
/** Module that writes, once the process handles hangups, how many modules of other packages it had loaded before. */
const REPORT_HANDLER = `import Module from "node:module";
process.on("newListener", name => {
    const loaded = Object.keys(Module._cache).length;
    if (name === "SIGHUP") {
        queueMicrotask(() => console.log(JSON.stringify({ loaded })));
    }
});`;

describe("A gateway process that gets signals", () => {
    let folder = "";
    let readiness = "";
    let path = "";
    let child: ChildProcess;
    let output = "";

    beforeEach(async () => {
        folder = mkdtempSync(join(tmpdir(), "medlarlb-signals-"));
        path = join(folder, "settings.ini");
        const findAddress = async (): Promise<string> => `127.0.0.1:${await findFreePort()}`;
        readiness = await findAddress();
        const [caller, peer, metrics, store] = [await findAddress(), await findAddress(), await findAddress(), await findAddress()];
        writeFileSync(path, createGatewaySettings({ caller, readiness, peer, metrics, store }));
        output = "";
    });

    afterEach(() => {
        child.kill("SIGKILL");
        rmSync(folder, { recursive: true, force: true });
    });

    const start = (): void => {
        child = spawn(process.execPath, ["--import", `data:text/javascript,${encodeURIComponent(REPORT_HANDLER)}`, GATEWAY_SCRIPT], {
            env: { ...process.env, MEDLARLB_CONFIG: path },
            stdio: ["ignore", "pipe", "inherit"],
        });
        child.stdout?.on("data", bytes => {
            output += String(bytes);
        });
    };
    const isEnded = (): boolean => (child.exitCode ?? child.signalCode ?? undefined) !== undefined;
    const listens = async (): Promise<boolean> => {
        const res = await request(`http://${readiness}/`).catch(() => undefined);
        await res?.body.dump();
        return res !== undefined;
    };
    const listEvents = (): unknown[] => output.split("\n").filter(Boolean).map(line => (JSON.parse(line) as { event?: string }).event);

    // FAULT: a settings file that was changed just after a start ended the process.
    it("goes on at hangups while its modules load", async () => {
        start();
        await waitFor("hangups are handled", () => output !== "");
        expect(output).to.match(/^\{"loaded":0\}\n/);
        while (!await listens()) {
            child.kill("SIGHUP");
            expect(child.signalCode).not.to.equal("SIGHUP");
            await sleep(5);
        }
        await sleep(SIGNAL_MS);
        expect(isEnded()).to.equal(false);
    }).timeout(10_000);

    // FAULT: the second signal ended the process at once, with its open requests.
    it("keeps to its planned stop when the signal to stop comes again", async () => {
        start();
        await waitFor("the process listens", listens);
        const ended = once(child, "exit");
        child.kill("SIGTERM");
        await sleep(SIGNAL_MS);
        child.kill("SIGTERM");
        await sleep(SIGNAL_MS);
        expect(isEnded()).to.equal(false);
        expect(await listens()).to.equal(true);
        expect((await ended)[0]).to.equal(0);
        expect(listEvents()).to.include.members(["stopping", "stopped", "exited"]);
    }).timeout(KILL_AFTER_MS + 2_000);

    it("ends with status 0 when the signal to stop comes while its modules load", async () => {
        start();
        await waitFor("signals are handled", () => output !== "");
        const ended = once(child, "exit");
        child.kill("SIGTERM");
        expect((await ended)[0]).to.equal(0);
    }).timeout(KILL_AFTER_MS + 2_000);

    it("ends with status 0 when the signal to stop comes as soon as it listens", async () => {
        start();
        while (!await listens()) {
            await sleep(1);
        }
        const ended = once(child, "exit");
        child.kill("SIGTERM");
        expect((await ended)[0]).to.equal(0);
    }).timeout(KILL_AFTER_MS + 2_000);

    it("goes on at a broken pipe", async () => {
        start();
        await waitFor("the process listens", listens);
        child.kill("SIGPIPE");
        child.stdout?.destroy();
        child.kill("SIGHUP");
        await sleep(2 * SIGNAL_MS);
        expect(await listens()).to.equal(true);
        const ended = once(child, "exit");
        child.kill("SIGTERM");
        expect((await ended)[0]).to.equal(0);
    }).timeout(KILL_AFTER_MS + 2_000);
});
