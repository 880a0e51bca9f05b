import { Then, When } from "@cucumber/cucumber";
import { expect } from "chai";
import { readStream } from "medlarlb-fakes/cluster/readStream";
import { waitFor } from "medlarlb-fakes/cluster/waitFor";
import { listResources } from "./clusterSteps.js";
import type { ClusterWorld } from "./clusterWorld.js";

/** Prompt that makes the process of an engine stand-in exit. */
const CRASHING_PROMPT = "CRASH-THE-ENGINE";
const MAX_CRASH_ATTEMPTS = 8;

/** Waits until a model has a replica and returns the target that holds it. */
const findEngineWithModel = async (world: ClusterWorld, model: string): Promise<string> => {
    const daemon = [...world.cluster.daemons.keys()][0] ?? "";
    return waitFor(`${model} has a replica`, async () => {
        const item = (await listResources(world, daemon, "models")).find(each => each.name === model);
        return (item?.status.replicas as { target: string }[] | undefined)?.[0]?.target;
    });
};

/** Returns how many runs an engine has started. */
const countStartedPrompts = async (world: ClusterWorld, id: string): Promise<number> => {
    const { prompts } = await world.cluster.inspect(id);
    return Object.values(prompts as Record<string, number>).reduce((sum, each) => sum + each, 0);
};

When("the engine that holds {word} is killed", async function (this: ClusterWorld, model: string) {
    this.chosenTarget = await findEngineWithModel(this, model);
    const process = this.cluster.targets.get(this.chosenTarget)?.process;
    process?.child.kill("SIGKILL");
    await process?.exited;
});

When("the engine that holds {word} reports that it is leaving", async function (this: ClusterWorld, model: string) {
    this.chosenTarget = await findEngineWithModel(this, model);
    await this.cluster.setFaults(this.chosenTarget, { leaving: true });
});

When("the engine that holds {word} is drained by the operator", async function (this: ClusterWorld, model: string) {
    this.chosenTarget = await findEngineWithModel(this, model);
    const spec = { ...this.cluster.targets.get(this.chosenTarget)?.spec, leaving: true };
    await this.cluster.declare([{ kind: "targets", name: this.chosenTarget, spec }]);
});

When("the engine that holds {word} is marked as leaving in the platform's instance list", async function (this: ClusterWorld, model: string) {
    this.chosenTarget = await findEngineWithModel(this, model);
    const target = this.cluster.targets.get(this.chosenTarget);
    await this.cluster.addToInstanceList(this.chosenTarget, "target", target?.zone ?? "", target?.address ?? "", "leaving");
});

Then("{word} sees {word} {word} ready on another engine", async function (this: ClusterWorld, daemon: string, kind: string, name: string) {
    await waitFor(`${kind}/${name} has a replica on another engine`, async () => {
        const item = (await listResources(this, daemon, kind)).find(each => each.name === name);
        return (item?.status.replicas as { target: string }[] | undefined)?.some(each => each.target !== this.chosenTarget);
    });
    this.startedPromptsBefore = this.cluster.targets.get(this.chosenTarget)?.process.isRunning() === true ? await countStartedPrompts(this, this.chosenTarget) : 0;
});

Then("the leaving engine has started no request since then", async function (this: ClusterWorld) {
    expect(await countStartedPrompts(this, this.chosenTarget)).to.equal(this.startedPromptsBefore);
});

When("the engines have started the prompt {string}", async function (this: ClusterWorld, prompt: string) {
    await waitFor("an engine has started the prompt", async () => {
        for (const { id, spec } of this.cluster.targets.values()) {
            const { prompts } = spec.kind === "engine" ? await this.cluster.inspect(id) : { prompts: {} };
            if ((prompts as Record<string, number>)[prompt] !== undefined) {
                return true;
            }
        }
        return false;
    });
});

When("every engine is restarted whenever its process exits", function (this: ClusterWorld) {
    const restartOnExit = async (id: string): Promise<void> => {
        const target = this.cluster.targets.get(id);
        await target?.process.exited;
        if (!this.hasEnded) {
            // If the scenario ends in the meantime, the restart fails; that error is ignored.
            await target?.restart().then(() => void restartOnExit(id), () => undefined);
        }
    };
    [...this.cluster.targets.values()].filter(each => each.spec.kind === "engine").forEach(each => void restartOnExit(each.id));
});

When("a caller sends the crashing request through {word} until it is refused with status {int}", async function (this: ClusterWorld, daemon: string, status: number) {
    const caller = this.cluster.daemons.get(daemon)?.caller ?? "";
    const statuses: number[] = [];
    for (let attempts = 0; attempts < MAX_CRASH_ATTEMPTS && statuses.at(-1) !== status; attempts += 1) {
        const answer = await readStream(caller, "aurora", CRASHING_PROMPT);
        statuses.push(answer.status);
    }
    expect(statuses.at(-1), statuses.join(",")).to.equal(status);
});

Then("the crashing request is refused through {word} with status {int}", async function (this: ClusterWorld, daemon: string, status: number) {
    const answer = await readStream(this.cluster.daemons.get(daemon)?.caller ?? "", "aurora", CRASHING_PROMPT);
    expect(answer.status, answer.body).to.equal(status);
});
