import { spawn } from "node:child_process";
import { createConnection } from "node:net";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import OpenAI from "openai";
import { request } from "undici";
import { createCluster } from "../cluster/createCluster.js";
import { postJson } from "../cluster/postJson.js";
import { readStream } from "../cluster/readStream.js";
import { waitFor } from "../cluster/waitFor.js";

type Cluster = Awaited<ReturnType<typeof createCluster>>;

const MAX_BODY_BYTES = 1_024 * 1_024;
const cliScript = fileURLToPath(import.meta.resolve("medlarlb-cli/main"));
const daemonScript = fileURLToPath(import.meta.resolve("medlarlb-daemon/main"));

const runScript = (script: string, args: string[]): Promise<{ code: number; output: string; errors: string }> =>
    new Promise(resolve => {
        const child = spawn(process.execPath, [script, ...args]);
        let output = "";
        let errors = "";
        child.stdout.on("data", chunk => {
            output += String(chunk);
        });
        child.stderr.on("data", chunk => {
            errors += String(chunk);
        });
        child.once("exit", code => resolve({ code: code ?? -1, output, errors }));
    });

describe("A daemon process with stand-ins for the platform, an engine and a service", () => {
    let cluster: Cluster;
    let caller = "";
    let operator = "";

    const runMedlarlb = (...args: string[]) => runScript(cliScript, [...args, "--server", `http://${operator}`, "--operator", "tester"]);

    before(async () => {
        cluster = await createCluster({ caller: { maxBodyBytes: MAX_BODY_BYTES }, policy: { loadsPerSecond: 50, fullSpeedLoads: 20 } });
        await cluster.startEngine("e1", "a");
        await cluster.startService("s1", "a", ["alerts"]);
        const daemon = await cluster.startDaemon("a1", "a");
        caller = daemon.caller;
        operator = daemon.operator;
        await cluster.declare([
            ...[...cluster.targets.values()].map(({ id, spec }) => ({ kind: "targets", name: id, spec })),
            { kind: "models", name: "aurora", spec: { bytes: 400 } },
            { kind: "services", name: "alerts", spec: { nonIdempotent: true } },
        ]);
        await waitFor("aurora is ready", async () => {
            const model = await cluster.call("GET", `http://${operator}/apis/v1/models/aurora`);
            return (model.status as { ready: boolean }).ready;
        });
    });
    after(() => cluster.stopAll());

    it("answers the OpenAI client's plain and streaming chat requests and lists its models", async () => {
        const client = new OpenAI({ baseURL: `http://${caller}/v1`, apiKey: "none" });
        const messages = [{ role: "user" as const, content: "will it glow tonight" }];
        const plain = await client.chat.completions.create({ model: "aurora", messages });
        expect(plain.choices[0]?.message.content).to.equal("[model/aurora@v1] will it glow tonight");
        let streamed = "";
        for await (const chunk of await client.chat.completions.create({ model: "aurora", messages, stream: true })) {
            streamed += chunk.choices[0]?.delta.content ?? "";
        }
        expect(streamed).to.equal("[model/aurora@v1] will it glow tonight");
        expect((await client.models.list()).data.map(model => model.id)).to.deep.equal(["aurora"]);
    });

    it("responds to the OpenAI client with an error that names the remedy if the model is unknown", async () => {
        const client = new OpenAI({ baseURL: `http://${caller}/v1`, apiKey: "none", maxRetries: 0 });
        const refused = await client.chat.completions.create({ model: "nothing", messages: [] }).catch((err: Error) => err);
        expect(refused).to.be.instanceOf(OpenAI.NotFoundError);
        expect((refused as Error).message).to.include("declare it with `medlarlb apply`");
    });

    it("refuses invalid JSON, a body without model, an invalid deadline, an unknown path and a large body, each with its remedy", async () => {
        const url = `http://${caller}/v1/chat/completions`;
        const bad = [
            await postJson(url, "{\"model\": "),
            await postJson(url, { messages: [] }),
            await postJson(url, { model: "aurora", messages: [] }, { "x-medlarlb-deadline-ms": "soon" }),
            await postJson(`http://${caller}/v2/anything`, {}),
        ];
        expect(bad.map(answer => answer.status)).to.deep.equal([400, 400, 400, 404]);
        bad.forEach(answer => {
            expect(answer.body.ran).to.equal("no");
            expect(answer.body.remedy).to.be.a("string");
            expect(answer.headers["content-type"]).to.equal("application/problem+json");
        });
        const large = await postJson(url, { model: "aurora", prompt: "x".repeat(MAX_BODY_BYTES) }).catch((err: Error) => err);
        // The daemon closes the connection without reading the rest, so a client that still writes may see the reset before the response.
        expect(large instanceof Error ? 413 : large.status).to.equal(413);
    });

    it("responds 431 to headers that are too large and 400 to bytes that aren't HTTP", async () => {
        const huge = await postJson(`http://${caller}/v1/chat/completions`, {}, { "x-large": "x".repeat(20_000) });
        expect(huge.status).to.equal(431);
        expect(huge.body.remedy).to.equal("send smaller headers");
        const raw = await new Promise<string>(resolve => {
            const [host, port] = caller.split(":");
            const socket = createConnection({ host: host ?? "", port: Number(port) }, () => socket.write("not http at all\r\n\r\n"));
            let text = "";
            socket.on("data", chunk => {
                text += String(chunk);
            });
            socket.on("close", () => resolve(text));
        });
        expect(raw).to.match(/^HTTP\/1.1 400 /).and.to.include("\"ran\":\"no\"");
    });

    it("refuses a request whose deadline can't be met, and says that it did not run", async () => {
        const answer = await readStream(caller, "aurora", "quickly", { "x-medlarlb-deadline-ms": "0" });
        expect(answer.status).to.be.oneOf([503, 504]);
        expect(answer.headers["retry-after"]).to.be.a("string");
        expect(JSON.parse(answer.body)).to.include({ ran: "no" });
    });

    it("closes a request when its caller disconnects in the middle of the answer", async () => {
        const abort = new AbortController();
        const long = Array.from({ length: 60 }, (_, index) => `w${index}`).join(" ");
        const res = await request(`http://${caller}/v1/chat/completions`, {
            method: "POST",
            signal: abort.signal,
            body: JSON.stringify({ model: "aurora", stream: true, messages: [{ role: "user", content: long }] }),
        });
        res.body.once("data", () => abort.abort());
        await res.body.dump().catch(() => undefined);
        await waitFor("no request is open", async () => (await cluster.call("GET", `http://${operator}/status`)).openRequests === 0);
    });

    it("refuses impossible and malformed resources, each with its remedy", async () => {
        const put = async (kind: string, name: string, spec: unknown) => {
            const res = await request(`http://${operator}/apis/v1/${kind}/${name}`, { method: "PUT", body: JSON.stringify({ spec }) });
            return { status: res.statusCode, body: await res.body.json() as Record<string, unknown> };
        };
        const answers = [
            await put("models", "huge", { bytes: 5_000 }),
            await put("models", "aurora", { bytes: "many" }),
            await put("adapters", "south", { model: "unknown", bytes: 10 }),
            await put("placements", "wish", { item: "aurora", minReplicas: 9 }),
            await put("placements", "wish", { item: "aurora", zones: ["nowhere"] }),
            await put("decisions", "one", {}),
            await put("wishes", "one", {}),
        ];
        expect(answers.map(answer => answer.status)).to.deep.equal([422, 422, 422, 422, 422, 405, 404]);
        answers.forEach(answer => expect(answer.body.remedy).to.be.a("string"));
    });

    it("keeps the last valid spec of a model and continues to serve it if its value in the KV service is invalid", async () => {
        const key = Buffer.from("/medlarlb/config/models/aurora").toString("base64");
        const head = Buffer.from("/medlarlb/config/head").toString("base64");
        const put = (name: string, value: string) => ({ request_put: { key: name, value: Buffer.from(value).toString("base64") } });
        await cluster.call("POST", `${cluster.platform}/v3/kv/txn`, { success: [put(key, "{broken"), put(head, "{}")] });
        const status = (): Promise<Record<string, unknown>> => cluster.call("GET", `http://${operator}/status`);
        await waitFor("the status has counters", async () => (await status()).counters as Record<string, number>)
            .then(() => waitFor("config.broken", async () => ((await status()).counters as Record<string, number>)["config.broken"]));
        const answer = await readStream(caller, "aurora", "still served");
        expect(answer.complete).to.equal(true);
        await cluster.declare([{ kind: "models", name: "aurora", spec: { bytes: 400 } }]);
    });

    it("resumes a watch from a version, and also from a version that another process gave out", async () => {
        const list = await cluster.call("GET", `http://${operator}/apis/v1/services`);
        await cluster.declare([{ kind: "services", name: "labels", spec: {} }]);
        const watched = await runMedlarlb("watch", "services", "--from", String(list.resourceVersion), "--limit", "1");
        expect(watched.output).to.match(/^ADDED labels/);
        const [revision] = String(list.resourceVersion).split(".");
        const other = await runMedlarlb("watch", "services", "--from", `${revision}.another-boot.7`, "--limit", "2");
        expect(other.output.split("\n").filter(line => line !== "").map(line => line.split(" ")[1]).sort()).to.deep.equal(["alerts", "labels"]);
    });

    it("stores each load and each refusal as a decision, in order and with its cause", async () => {
        const refused = await readStream(caller, "nothing", "why");
        const id = String(refused.headers["x-medlarlb-request-id"]);
        const explained = await runMedlarlb("explain", id);
        expect(explained.output).to.include("refuse").and.to.include("nothing named nothing is configured");
        const chain = await runMedlarlb("explain", "aurora");
        const actions = [...chain.output.matchAll(/ (load|loaded|anchor) model\/aurora@v1 on e1/g)].map(match => match[1]);
        expect(actions).to.deep.equal(["load", "loaded", "anchor"]);
        expect(chain.output).to.match(/loaded .*\[cause a1-/);
    });

    it("returns the documented exit code for each kind of failure on the command line", async () => {
        const codes = [
            (await runMedlarlb("get", "models", "nothing")).code,
            (await runMedlarlb("apply", "-f", "/nowhere.yaml")).code,
            (await runMedlarlb("delete", "services", "nothing")).code,
            (await runScript(cliScript, ["status", "--server", "http://127.0.0.1:1"])).code,
            (await runMedlarlb("status")).code,
            (await runMedlarlb("get", "models", "--output", "json")).code,
        ];
        expect(codes).to.deep.equal([5, 2, 5, 4, 0, 0]);
    });

    it("applies, describes, drains, audits and deletes resources on the command line", async () => {
        const folder = await mkdtemp(join(tmpdir(), "medlarlb-test-"));
        const file = join(folder, "resources.yaml");
        await writeFile(file, "kind: models\nname: notes\nspec:\n  bytes: 100\n---\nkind: adapters\nname: south\nspec: {model: notes, bytes: 10}\n");
        expect((await runMedlarlb("apply", "-f", file)).output).to.match(/models\/notes applied at version \d+\nadapters\/south applied/);
        await rm(folder, { recursive: true });
        expect((await runMedlarlb("describe", "models", "notes")).output).to.include("bytes: 100");
        expect((await runMedlarlb("drain", "s1")).output).to.include("target s1 is draining");
        expect((await runMedlarlb("drain", "s1", "--undo")).output).to.include("target s1 takes work again");
        expect((await runMedlarlb("delete", "models", "notes")).code).to.equal(6);
        expect((await runMedlarlb("delete", "adapters", "south")).code).to.equal(0);
        expect((await runMedlarlb("delete", "models", "notes")).code).to.equal(0);
        expect((await runMedlarlb("audit")).output).to.match(/tester +delete +models\/notes/);
    });

    it("checks its settings without starting if called with --check, and prints the file and line of each fault", async () => {
        const folder = await mkdtemp(join(tmpdir(), "medlarlb-test-"));
        const file = join(folder, "bad.ini");
        await writeFile(file, "[instance]\nid = a1\nzoen = a\n");
        const checked = await runScript(daemonScript, ["--config", file, "--check"]);
        await rm(folder, { recursive: true });
        expect(checked.code).to.equal(2);
        expect(checked.errors).to.include("bad.ini:3: instance.zoen: this key isn't known; did you mean instance.zone?");
        expect(checked.errors).to.include("peer.key: this key is missing");
    });
});
