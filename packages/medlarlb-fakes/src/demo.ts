import { spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import { createCluster } from "./cluster/createCluster.js";
import { postJson } from "./cluster/postJson.js";
import { readStream } from "./cluster/readStream.js";
import { waitFor } from "./cluster/waitFor.js";

// Starts a small cluster, runs commands of `medlarlb` and requests of callers against it, and checks every answer.
const cliScript = fileURLToPath(import.meta.resolve("medlarlb-cli/main"));
const WATCH_MS = 1_500;

const failures: string[] = [];
const check = (description: string, passed: boolean): void => {
    console.log(`${passed ? "ok  " : "FAIL"} ${description}`);
    if (!passed) {
        failures.push(description);
    }
};

const cluster = await createCluster();

/** Runs `medlarlb` with its output on the terminal, and ends it after `timeoutMs`. */
const runMedlarlb = (args: string[], timeoutMs = 30_000): Promise<void> =>
    new Promise(resolve => {
        const servers = [...cluster.daemons.values()].map(daemon => `http://${daemon.operator}`).join(",");
        console.log(`$ medlarlb ${args.map(arg => arg.replace(/^.*\/(?=[^/]*\.yaml$)/, "")).join(" ")}`);
        const child = spawn(process.execPath, [cliScript, ...args, "--server", servers, "--operator", "demo"], { stdio: "inherit" });
        const timer = setTimeout(() => child.kill(), timeoutMs);
        child.once("exit", () => {
            clearTimeout(timer);
            resolve();
        });
    });

const runDemo = async (): Promise<void> => {
    for (const [id, zone] of [["e1", "a"], ["e2", "a"], ["e3", "b"], ["e4", "b"]] as const) {
        await cluster.startEngine(id, zone, { fencing: id === "e2" ? "ignored" : "enforced" });
    }
    await cluster.startService("s1", "a", ["alerts"]);
    for (const [id, zone] of [["a1", "a"], ["a2", "a"], ["b1", "b"]] as const) {
        await cluster.startDaemon(id, zone);
    }
    const folder = await mkdtemp(join(tmpdir(), "medlarlb-demo-"));
    const file = join(folder, "demo.yaml");
    const resources = [
        ...[...cluster.targets.values()].map(({ id, spec }) => ({ kind: "targets", name: id, spec })),
        { kind: "models", name: "aurora", spec: { bytes: 400 } },
        { kind: "models", name: "notes", spec: { bytes: 300 } },
        { kind: "adapters", name: "south", spec: { model: "aurora", bytes: 50 } },
        { kind: "services", name: "alerts", spec: { nonIdempotent: true } },
    ];
    await writeFile(file, resources.map(each => stringify(each)).join("---\n"));
    await runMedlarlb(["apply", "-f", file]);
    await rm(folder, { recursive: true });

    const daemons = [...cluster.daemons.values()];
    await waitFor("all models are ready", async () => {
        const lists = await Promise.all(daemons.flatMap(daemon => ["models", "adapters"].map(kind =>
            cluster.call("GET", `http://${daemon.operator}/apis/v1/${kind}`))));
        const items = lists.flatMap(list => list.items as { status: { ready: boolean } }[]);
        return items.length === 3 * daemons.length && items.every(item => item.status.ready);
    });
    await runMedlarlb(["get", "models"]);

    for (const [index, model] of ["aurora", "notes", "south"].entries()) {
        const daemon = daemons[index % daemons.length];
        const prompt = `forecast number ${index} for tonight`;
        const streamed = await readStream(daemon?.caller ?? "", model, prompt);
        console.log(`${model} streamed by ${daemon?.id}: ${streamed.text}`);
        check(`${model}: the streamed answer is complete and belongs to its prompt`, streamed.complete && streamed.text.endsWith(` ${prompt}`));
        const plain = await postJson(`http://${daemon?.caller}/v1/chat/completions`, { model, messages: [{ role: "user", content: `plain ${prompt}` }] });
        const text = (plain.body.choices as { message: { content: string } }[] | undefined)?.[0]?.message.content ?? "";
        console.log(`${model} plain by ${daemon?.id}: ${text}`);
        check(`${model}: the plain answer is complete and belongs to its prompt`, plain.status === 200 && text.endsWith(` plain ${prompt}`));
    }
    const alert = await postJson(`http://${daemons[2]?.caller}/services/alerts/send`, { lodge: 7 }, { "idempotency-key": "alert-7" });
    const repeat = await postJson(`http://${daemons[0]?.caller}/services/alerts/send`, { lodge: 7 }, { "idempotency-key": "alert-7" });
    const executions = (await cluster.inspect("s1")).executions as Record<string, number>;
    check("alerts: the call gets an answer", alert.status === 200);
    check("alerts: a second call with the same idempotency key succeeds without a second run", repeat.status === 200 && executions["{\"lodge\":7}"] === 1);
    const unknown = await postJson(`http://${daemons[0]?.caller}/v1/chat/completions`, { model: "nothing", messages: [] });
    check("a request for an unknown model is refused, and the answer says that it did not run", unknown.status === 404 && unknown.body.ran === "no");

    await runMedlarlb(["watch", "decisions"], WATCH_MS);
    await runMedlarlb(["explain", "aurora"]);
    await runMedlarlb(["audit"]);
};

try {
    await runDemo();
}
catch (err) {
    check(`the demo runs to its end: ${(err as Error).message}`, false);
    for (const { id, process: { errors } } of cluster.daemons.values()) {
        console.error(`${id}: ${errors()}`);
    }
}
finally {
    await cluster.stopAll();
}
console.log(failures.length === 0 ? "demo: all answers were complete and their own" : `demo: ${failures.length} faults`);
process.exitCode = failures.length === 0 ? 0 : 1;
