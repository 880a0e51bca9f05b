import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers";
import { URL } from "node:url";

const root = new URL("../../", import.meta.url).pathname;
const RUN_LIMIT_MS = 115_000;
const READY_LIMIT_MS = 15_000;
/** Exit status by the outcome. Node itself exits with 1 if it can't load a script. */
const exitStatuses = { held: 0, couldNotRun: 2, broken: 3 };
const METRICS_PORT = 9464;

/** Bounds of the sheet of Karoo Aurora Alerts (SYSTEM.md). */
const bounds = {
    grace_s: 8,
    lease_ms: 3_000,
    budget_ratio: 0.2,
    budget_window_s: 10,
    budget_extra: 56,
    ceiling_window_s: 5,
    ceiling_factor: 1.1,
};

const sleep = ms => new Promise(resolve => {
    setTimeout(resolve, ms);
});

/** Listens on a free port of a loopback address, and returns `ADDRESS:PORT`. */
const listen = async (server, host = "127.0.0.1", port = 0) => {
    server.listen(port, host);
    await once(server, "listening");
    return `${host}:${server.address().port}`;
};

const findFreeAddress = async host => {
    const server = createServer();
    const address = await listen(server, host);
    server.close();
    return address;
};

/** Finds a loopback address on which the port of the deploy file's metrics is free. */
const findFreeHost = async () => {
    for (;;) {
        const [one, two, three] = [1, 2, 3].map(() => 1 + Math.floor(Math.random() * 250));
        const host = `127.${one}.${two}.${three}`;
        const server = createServer();
        const isFree = await listen(server, host, METRICS_PORT).then(() => true, () => false);
        server.close();
        if (isFree) {
            return host;
        }
    }
};

const readDeployFile = () => {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    return {
        run: /^run = "(.*)"$/m.exec(text)[1].split(" "),
        template: readFileSync(join(root, /^template = "(.*)"$/m.exec(text)[1]), "utf8"),
    };
};

/** Fills in the placeholders of the settings template as the platform does. */
const fillIn = (template, fields) => template.replaceAll(/\{\{([a-z_.]+)\}\}/g, (_, path) =>
    [path.split(".").reduce((value, name) => value?.[name], fields) ?? ""].flat().join(","));

/** Starts the frame of a case: its record, its temporary folder, and the end of all processes that it starts. */
export const startCase = folder => {
    const startedAtMs = performance.now();
    const lines = [];
    const children = new Set();
    const temporary = mkdtempSync(join(tmpdir(), "review-"));
    const deploy = readDeployFile();
    const nowMs = () => Math.round(performance.now() - startedAtMs);
    const record = text => void lines.push(`${String(nowMs()).padStart(6)} ${text}`);

    /** Ends the case with its outcome, a key of `exitStatuses`. */
    const end = (outcome, verdict) => {
        record(verdict);
        console.log(verdict);
        children.forEach(child => child.kill("SIGKILL"));
        writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
        rmSync(temporary, { recursive: true, force: true });
        process.exit(exitStatuses[outcome]);
    };
    setTimeout(() => end("couldNotRun", "the case took too long"), RUN_LIMIT_MS).unref();
    ["SIGINT", "SIGTERM"].forEach(signal => process.once(signal, () => end("couldNotRun", `the case was ended by ${signal}`)));
    process.once("uncaughtException", err => end("couldNotRun", `the case couldn't run: ${err.stack}`));

    const isReady = address => new Promise(resolve => {
        const req = get(`http://${address}/api/readiness`, { timeout: 1_000 }, res => {
            res.resume();
            resolve(res.statusCode === 200);
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => resolve(false));
    });

    /** Describes a machine of the system: its addresses and its settings. */
    const createMachine = async (zone, storeAddress, settings = {}) => {
        const ip = await findFreeHost();
        const listenOn = { front: await findFreeAddress(ip), ready: await findFreeAddress(ip), control: await findFreeAddress(ip) };
        return { ip, zone, listen: listenOn, seeds: [listenOn.control], platform: { address: storeAddress }, bounds, ...settings };
    };

    /** Starts the gateway of a machine with the command of the deploy file, and waits until it is ready. */
    const startGateway = async machine => {
        const settingsFile = join(temporary, `${machine.ip}.ini`);
        writeFileSync(settingsFile, fillIn(deploy.template, machine));
        const [command, ...args] = deploy.run;
        const child = spawn(command, args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, MEDLARLB_CONFIG: settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        children.add(child);
        const log = [];
        let rest = "";
        child.stdout.on("data", chunk => {
            const parts = (rest + chunk).split("\n");
            rest = parts.pop();
            log.push(...parts);
        });
        const gateway = { machine, child, log, errors: "", exit: undefined, startedAtMs: nowMs(), signalled: false };
        child.stderr.on("data", chunk => {
            gateway.errors += chunk;
        });
        child.on("exit", (code, signal) => {
            children.delete(child);
            gateway.exit = { code, signal, atMs: nowMs() };
            record(`gateway ${machine.listen.front} ended: code ${code}, signal ${signal} ${gateway.errors.split("\n").slice(0, 12).join(" | ")}`);
        });
        gateway.kill = signal => {
            gateway.signalled = true;
            child.kill(signal);
        };
        for (const limitMs = nowMs() + READY_LIMIT_MS; nowMs() < limitMs && gateway.exit === undefined; await sleep(50)) {
            if (await isReady(machine.listen.ready)) {
                record(`gateway ${machine.listen.front} of zone ${machine.zone} is ready`);
                return gateway;
            }
        }
        return end("couldNotRun", `a gateway didn't become ready: ${gateway.errors}`);
    };

    return { hasTrouble: process.env.TROUBLE !== "0", nowMs, record, end, sleep, listen, isReady, createMachine, startGateway };
};
