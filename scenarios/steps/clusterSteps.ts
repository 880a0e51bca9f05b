import { Given, Then, When } from "@cucumber/cucumber";
import { expect } from "chai";
import { postJson } from "medlarlb-fakes/cluster/postJson";
import { readStream } from "medlarlb-fakes/cluster/readStream";
import { waitFor } from "medlarlb-fakes/cluster/waitFor";
import type { ClusterWorld } from "./clusterWorld.js";

/** A resource in the response to a list. */
type ListedResource = { name: string; resourceVersion: string; spec: Record<string, unknown>; status: Record<string, unknown> };

/** Lists the resources of a kind at a daemon. */
const listResources = async (world: ClusterWorld, daemon: string, kind: string): Promise<ListedResource[]> => {
    const operator = world.cluster.daemons.get(daemon)?.operator;
    const answer = await world.cluster.call("GET", `http://${operator}/apis/v1/${kind}`);
    return answer.items as ListedResource[];
};

Given("engines in these zones:", async function (this: ClusterWorld, table: { hashes: () => Record<string, string>[] }) {
    await this.start();
    for (const { id, zone, memory, fencing, tokenMs } of table.hashes()) {
        await this.cluster.startEngine(id ?? "", zone ?? "", {
            memoryBytes: Number(memory ?? 1_000),
            fencing: fencing === "ignored" ? "ignored" : "enforced",
            tokenMs: Number(tokenMs ?? 2),
        });
    }
});

Given("a service target {word} in zone {word} for {word}", async function (this: ClusterWorld, id: string, zone: string, service: string) {
    await this.cluster.startService(id, zone, [service]);
});

Given("a policy setting {word} of {float}", function (this: ClusterWorld, key: string, value: number) {
    this.policy[key] = value;
});

Given("a caller setting {word} of {float}", function (this: ClusterWorld, key: string, value: number) {
    this.callerSettings[key] = value;
});

Given("daemons {word} in zone {word}", async function (this: ClusterWorld, ids: string, zone: string) {
    for (const id of ids.split(",")) {
        await this.cluster.startDaemon(id, zone);
    }
});

Given("the targets are declared", async function (this: ClusterWorld) {
    await this.cluster.declare([...this.cluster.targets.values()].map(({ id, spec }) => ({ kind: "targets", name: id, spec })));
});

When(/^the operator declares (\S+) (\S+) as (\{.*\})$/, async function (this: ClusterWorld, kind: string, name: string, spec: string) {
    await this.cluster.declare([{ kind, name, spec: JSON.parse(spec) }]);
});

When(/^the operator declares (\S+) (\S+) as (\{.*\}) through (\S+)$/, async function (this: ClusterWorld, kind: string, name: string, spec: string, daemon: string) {
    await this.cluster.declare([{ kind, name, spec: JSON.parse(spec) }], this.cluster.daemons.get(daemon));
});

Then("{word} sees {word} {word} ready", async function (this: ClusterWorld, daemon: string, kind: string, name: string) {
    await waitFor(`${kind}/${name} is ready at ${daemon}`, async () =>
        (await listResources(this, daemon, kind)).some(item => item.name === name && item.status.ready === true));
});

Then("{word} sees {word} {word} with a replica on {word}", async function (this: ClusterWorld, daemon: string, kind: string, name: string, target: string) {
    await waitFor(`${kind}/${name} has a replica on ${target}`, async () =>
        (await listResources(this, daemon, kind)).some(item =>
            item.name === name && (item.status.replicas as { target: string }[]).some(each => each.target === target)));
});

When("a caller streams {string} from {word} through {word}", function (this: ClusterWorld, prompt: string, model: string, daemon: string) {
    const caller = this.cluster.daemons.get(daemon)?.caller ?? "";
    this.prompts.push(prompt);
    this.answers.push(readStream(caller, model, prompt).catch((err: Error) => err));
});

When("a caller streams {string} from {word} through {word} as non-idempotent", function (this: ClusterWorld, prompt: string, model: string, daemon: string) {
    const caller = this.cluster.daemons.get(daemon)?.caller ?? "";
    this.prompts.push(prompt);
    this.answers.push(readStream(caller, model, prompt, { "x-medlarlb-non-idempotent": "true" }).catch((err: Error) => err));
});

When("{int} callers stream from {word} through {word}", function (this: ClusterWorld, count: number, model: string, daemon: string) {
    const caller = this.cluster.daemons.get(daemon)?.caller ?? "";
    for (let index = 0; index < count; index += 1) {
        const prompt = `question ${this.prompts.length} of many`;
        this.prompts.push(prompt);
        this.answers.push(readStream(caller, model, prompt).catch((err: Error) => err));
    }
});

When("a caller posts {string} to service {word} through {word} with key {word}", function (this: ClusterWorld, text: string, service: string, daemon: string, key: string) {
    const caller = this.cluster.daemons.get(daemon)?.caller ?? "";
    this.posts.push(postJson(`http://${caller}/services/${service}/send`, { text }, { "idempotency-key": key }).catch((err: Error) => err));
});

When("a caller posts {string} to service {word} through {word}", function (this: ClusterWorld, text: string, service: string, daemon: string) {
    const caller = this.cluster.daemons.get(daemon)?.caller ?? "";
    this.posts.push(postJson(`http://${caller}/services/${service}/send`, { text }).catch((err: Error) => err));
});

Then("every streamed answer is complete and belongs to its prompt", async function (this: ClusterWorld) {
    const answers = await Promise.all(this.answers);
    answers.forEach((answer, index) => {
        if (answer instanceof Error) {
            throw answer;
        }
        expect(answer.status, answer.body).to.equal(200);
        expect(answer.complete, `${answer.text} ${answer.error ?? ""}`).to.equal(true);
        expect(answer.text.endsWith(` ${this.prompts[index]}`), answer.text).to.equal(true);
    });
});

Then("the last post is answered with status {int}", async function (this: ClusterWorld, status: number) {
    const answer = await this.posts.at(-1);
    if (answer === undefined || answer instanceof Error) {
        throw answer ?? new Error("nothing was posted");
    }
    expect(answer.status, JSON.stringify(answer.body)).to.equal(status);
});

Then("the answer to the last post says that the run state is {string}", async function (this: ClusterWorld, ran: string) {
    const answer = await this.posts.at(-1);
    if (answer === undefined || answer instanceof Error) {
        throw answer ?? new Error("nothing was posted");
    }
    expect(answer.body.ran, JSON.stringify(answer.body)).to.equal(ran);
});

Then("every post was answered, and at least one with status {int}", async function (this: ClusterWorld, status: number) {
    const answers = await Promise.all(this.posts);
    const statuses = answers.map(answer => (answer instanceof Error ? answer.message : answer.status));
    expect(statuses).to.include(status);
    expect(statuses.filter(each => each !== status && each !== 409)).to.deep.equal([]);
});

Then("{word} has run the request with the text {string} {int} time(s)", async function (this: ClusterWorld, target: string, text: string, times: number) {
    const { executions } = await this.cluster.inspect(target);
    expect((executions as Record<string, number>)[JSON.stringify({ text })] ?? 0).to.equal(times);
});

Then("the last streamed answer ends with an error and without the closing event", async function (this: ClusterWorld) {
    const answer = await this.answers.at(-1);
    if (answer === undefined || answer instanceof Error) {
        throw answer ?? new Error("nothing was streamed");
    }
    expect(answer.complete, answer.text).to.equal(false);
    expect(answer.error ?? answer.body).to.match(/find out whether the request took effect/);
});

Then("the engines that are running have run the prompt {string} {int} time(s)", async function (this: ClusterWorld, prompt: string, times: number) {
    let total = 0;
    for (const { id, spec, process } of this.cluster.targets.values()) {
        // A killed engine doesn't respond, and its counts are lost, so only running engines are counted.
        if (spec.kind === "engine" && process.isRunning()) {
            const { prompts } = await this.cluster.inspect(id);
            total += (prompts as Record<string, number>)[prompt] ?? 0;
        }
    }
    expect(total).to.equal(times);
});

Then("no engine was ordered to load more than fits its memory", async function (this: ClusterWorld) {
    for (const { id, spec, process } of this.cluster.targets.values()) {
        if (spec.kind === "engine" && process.isRunning()) {
            const { violations } = await this.cluster.inspect(id);
            expect(violations, id).to.deep.equal([]);
        }
    }
});

export { listResources };
