import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { findFreePort } from "./findFreePort.js";
import { startProcess } from "./startProcess.js";

type RunningProcess = Awaited<ReturnType<typeof startProcess>>;

/** A running daemon with the addresses that it listens on for callers, operators and peers. */
interface DaemonHandle {
    id: string;
    zone: string;
    caller: string;
    operator: string;
    peer: string;
    process: RunningProcess;
}

/** A running engine or service stand-in. */
interface TargetHandle {
    id: string;
    zone: string;
    address: string;
    process: RunningProcess;
    /** Spec of the target's resource. */
    spec: Record<string, unknown>;
    /** Starts the stand-in again on the same port. */
    restart: () => Promise<RunningProcess>;
}

interface EngineSettings {
    memoryBytes?: number;
    fencing?: "enforced" | "ignored";
    slots?: number;
    tokenMs?: number;
}

interface ClusterOptions {
    /** Settings of the section [policy], read when a daemon starts. */
    policy?: Record<string, number>;
    /** Further settings of the section [caller], read when a daemon starts. */
    caller?: Record<string, number>;
}

const currentFolder = dirname(fileURLToPath(import.meta.url));
const libFolder = join(currentFolder, "..", "..", "lib");
const daemonScript = fileURLToPath(import.meta.resolve("medlarlb-daemon/main"));
const PEER_KEY = "a shared key of the demo";

/** Starts a platform stand-in on loopback, and returns functions that start targets and daemons as processes beside it. */
export const createCluster = async (options: ClusterOptions = {}) => {
    const folder = await mkdtemp(join(tmpdir(), "medlarlb-"));
    const platformPort = await findFreePort();
    const platform = `http://127.0.0.1:${platformPort}`;
    const launched: Promise<RunningProcess>[] = [];
    let stopped = false;

    /** Starts a process that `stopAll` kills, even if the process is still starting at that time. */
    const launch = (script: string, args: string[]): Promise<RunningProcess> => {
        if (stopped) {
            return Promise.reject(new Error(`${script} can't be started: the cluster was stopped`));
        }
        const running = startProcess(script, args);
        launched.push(running);
        return running;
    };

    await launch(join(libFolder, "platformMain.js"), [String(platformPort)]);
    const daemons = new Map<string, DaemonHandle>();
    const targets = new Map<string, TargetHandle>();

    const call = async (method: "GET" | "POST" | "PUT" | "DELETE", url: string, body?: unknown): Promise<Record<string, unknown>> => {
        const res = await request(url, {
            method,
            headers: { "content-type": "application/json" },
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        });
        return await res.body.json() as Record<string, unknown>;
    };

    const addToInstanceList = (id: string, role: string, zone: string, address: string, state = "live"): Promise<unknown> =>
        call("PUT", `${platform}/instances/${id}`, { role, zone, address, state });

    const writeSettings = async (daemon: Omit<DaemonHandle, "process">): Promise<string> => {
        const path = join(folder, `${daemon.id}.ini`);
        const section = (values: Record<string, number> = {}): string[] => Object.entries(values).map(([key, value]) => `${key} = ${value}`);
        await writeFile(path, [
            "[instance]",
            `id = ${daemon.id}`,
            `zone = ${daemon.zone}`,
            "[caller]",
            `address = ${daemon.caller}`,
            ...section(options.caller),
            "[operator]",
            `address = ${daemon.operator}`,
            "[peer]",
            `address = ${daemon.peer}`,
            `key = ${PEER_KEY}`,
            "[platform]",
            `kv = ${platform}`,
            `instances = ${platform}/instances`,
            "[policy]",
            ...section(options.policy),
        ].join("\n"));
        return path;
    };

    const startDaemon = async (id: string, zone: string): Promise<DaemonHandle> => {
        const address = async (): Promise<string> => `127.0.0.1:${await findFreePort()}`;
        const existing = daemons.get(id);
        const addresses = existing ?? { caller: await address(), operator: await address(), peer: await address() };
        const settings = { id, zone, caller: addresses.caller, operator: addresses.operator, peer: addresses.peer };
        const path = await writeSettings(settings);
        await addToInstanceList(id, "daemon", zone, settings.peer);
        const handle = { ...settings, process: await launch(daemonScript, ["--config", path]) };
        daemons.set(id, handle);
        return handle;
    };

    const startTarget = async (
        id: string,
        zone: string,
        spec: Record<string, unknown>,
        script: string,
        args: (port: number) => string[],
    ): Promise<TargetHandle> => {
        const port = await findFreePort();
        const start = (): Promise<RunningProcess> => launch(join(libFolder, script), args(port));
        const address = `127.0.0.1:${port}`;
        const restart = async (): Promise<RunningProcess> => {
            const running = await start();
            handle.process = running;
            return running;
        };
        const handle: TargetHandle = { id, zone, address, process: await start(), spec: { ...spec, address, zone }, restart };
        targets.set(id, handle);
        await addToInstanceList(id, "target", zone, address);
        return handle;
    };

    return {
        platform,
        daemons,
        targets,
        /** Sends a JSON request and returns the JSON body of the response, whatever the status. */
        call,
        /** Adds a daemon or target to the platform's instance list, or replaces its entry. */
        addToInstanceList,
        removeFromInstanceList: (id: string): Promise<unknown> => call("DELETE", `${platform}/instances/${id}`),
        /** Starts a daemon. A daemon that is started again under its id keeps its addresses. */
        startDaemon,
        startEngine: (id: string, zone: string, engine: EngineSettings = {}): Promise<TargetHandle> => {
            const { memoryBytes = 1_000, fencing = "enforced", slots = 8, tokenMs = 2 } = engine;
            const flags = ["--target", id, "--memory", memoryBytes, "--fencing", fencing, "--slots", slots, "--token-ms", tokenMs];
            const args = (port: number): string[] => [...flags.map(String), "--port", String(port), "--platform", platform];
            return startTarget(id, zone, { kind: "engine", memoryBytes, fencing, slots }, "engineMain.js", args);
        },
        startService: (id: string, zone: string, services: string[]): Promise<TargetHandle> =>
            startTarget(id, zone, { kind: "service", services }, "serviceMain.js", port => [String(port), id]),
        /** Declares resources in order, through the first daemon unless another is given. */
        declare: async (resources: { kind: string; name: string; spec: unknown }[], daemon = [...daemons.values()][0]): Promise<void> => {
            for (const { kind, name, spec } of resources) {
                const answer = await call("PUT", `http://${daemon?.operator}/apis/v1/${kind}/${name}`, { spec });
                if (answer.resourceVersion === undefined) {
                    throw new Error(`${kind}/${name} wasn't accepted: ${JSON.stringify(answer)}`);
                }
            }
        },
        /** Sets faults of a stand-in: `id` is that of a target, or "platform". */
        setFaults: (id: string, faults: Record<string, unknown>): Promise<unknown> => {
            const base = id === "platform" ? platform : `http://${targets.get(id)?.address}`;
            return call("POST", `${base}/stand-in/faults`, faults);
        },
        /** Returns what a target's stand-in recorded, such as how often it ran each request. */
        inspect: (id: string): Promise<Record<string, unknown>> =>
            call("GET", `http://${targets.get(id)?.address}/stand-in`),
        /** Kills all processes, suspended ones included, and removes the settings files. */
        stopAll: async (): Promise<void> => {
            stopped = true;
            const all = (await Promise.allSettled(launched)).flatMap(each => (each.status === "fulfilled" ? [each.value] : []));
            for (const { child } of all) {
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            }
            await Promise.all(all.map(each => each.exited));
            await rm(folder, { recursive: true, force: true });
        },
    };
};
