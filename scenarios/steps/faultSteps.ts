import { Then, When } from "@cucumber/cucumber";
import { expect } from "chai";
import { waitFor } from "medlarlb-fakes/cluster/waitFor";
import { listResources } from "./clusterSteps.js";
import type { ClusterWorld } from "./clusterWorld.js";

/** Returns the process of a daemon or target. */
const findProcess = (world: ClusterWorld, id: string) =>
    (world.cluster.daemons.get(id) ?? world.cluster.targets.get(id))?.process;

When("{word} gets the fault {}", async function (this: ClusterWorld, id: string, faults: string) {
    await this.cluster.setFaults(id, JSON.parse(faults));
});

When("{word} is killed", async function (this: ClusterWorld, id: string) {
    const process = findProcess(this, id);
    process?.child.kill("SIGKILL");
    await process?.exited;
});

When("{word} is killed and removed from the platform's instance list", async function (this: ClusterWorld, id: string) {
    const process = findProcess(this, id);
    process?.child.kill("SIGKILL");
    await process?.exited;
    await this.cluster.removeFromInstanceList(id);
});

When("{word} is suspended", function (this: ClusterWorld, id: string) {
    findProcess(this, id)?.child.kill("SIGSTOP");
});

When("{word} is resumed", function (this: ClusterWorld, id: string) {
    findProcess(this, id)?.child.kill("SIGCONT");
});

When("{word} is asked to stop", function (this: ClusterWorld, id: string) {
    findProcess(this, id)?.child.kill("SIGTERM");
});

Then("{word} ends with code {int}", async function (this: ClusterWorld, id: string, code: number) {
    expect(await findProcess(this, id)?.exited).to.equal(code);
});

When("{word} starts again", async function (this: ClusterWorld, id: string) {
    const daemon = this.cluster.daemons.get(id);
    if (daemon !== undefined) {
        await this.cluster.startDaemon(id, daemon.zone);
        return;
    }
    await this.cluster.targets.get(id)?.restart();
});

When("the operator drains {word}", async function (this: ClusterWorld, id: string) {
    const spec = { ...this.cluster.targets.get(id)?.spec, leaving: true };
    await this.cluster.declare([{ kind: "targets", name: id, spec }]);
});

Then("one of {word} becomes the planner of zone {word}", async function (this: ClusterWorld, ids: string, zone: string) {
    await waitFor(`a planner in zone ${zone}`, async () => {
        for (const id of ids.split(",")) {
            const daemon = this.cluster.daemons.get(id);
            const status = await this.cluster.call("GET", `http://${daemon?.operator}/status`).catch(() => ({ planner: false }));
            if (status.planner === true) {
                return true;
            }
        }
        return false;
    });
});

Then("{word} owns the ledger of {word}", async function (this: ClusterWorld, daemon: string, target: string) {
    await waitFor(`${daemon} owns the ledger of ${target}`, async () =>
        (await listResources(this, daemon, "targets")).some(item =>
            item.name === target && (item.status.ledger as { stage: string } | undefined)?.stage === "owned"));
});

Then("{word} doesn't own the ledger of {word} for {int} ms", async function (this: ClusterWorld, daemon: string, target: string, ms: number) {
    const startedAtMs = Date.now();
    while (Date.now() - startedAtMs < ms) {
        const item = (await listResources(this, daemon, "targets")).find(each => each.name === target);
        expect((item?.status.ledger as { stage: string } | undefined)?.stage).to.not.equal("owned");
    }
});
