import { Given, Then, When } from "@cucumber/cucumber";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "medlarlb-fakes/cluster/waitFor";
import { listResources } from "./clusterSteps.js";
import type { ClusterWorld } from "./clusterWorld.js";

const OBSERVATION_INTERVAL_MS = 50;

Given("an observer keeps reading the configuration revision of every instance", function (this: ClusterWorld) {
    const highestRevisions = new Map<string, number>();
    let stopped = false;
    const observe = async (): Promise<void> => {
        while (!stopped) {
            for (const { id, operator } of this.cluster.daemons.values()) {
                const status = await this.cluster.call("GET", `http://${operator}/status`).catch(() => undefined);
                const revision = Number(status?.configRevision ?? 0);
                if (status !== undefined && revision < (highestRevisions.get(id) ?? 0)) {
                    this.observedFaults.push(`${id} went from revision ${highestRevisions.get(id)} to ${revision}`);
                }
                highestRevisions.set(id, Math.max(revision, highestRevisions.get(id) ?? 0));
            }
            await new Promise(resolve => setTimeout(resolve, OBSERVATION_INTERVAL_MS));
        }
    };
    const done = observe();
    this.stopObserver = async () => {
        stopped = true;
        await done;
    };
});

Then("no instance went back to an earlier configuration", function (this: ClusterWorld) {
    expect(this.observedFaults).to.deep.equal([]);
});

Then(/^every instance has (\S+) (\S+) with (\{.*\})$/, async function (this: ClusterWorld, kind: string, name: string, text: string) {
    const expected = JSON.parse(text) as Record<string, unknown>;
    for (const daemon of this.cluster.daemons.keys()) {
        await waitFor(`${kind}/${name} is up to date at ${daemon}`, async () => {
            const item = (await listResources(this, daemon, kind)).find(each => each.name === name);
            return item !== undefined && Object.entries(expected).every(([key, value]) => item.spec[key] === value);
        });
    }
});

Then("the audit trail holds {int} entry/entries for {word} {word}", async function (this: ClusterWorld, count: number, kind: string, name: string) {
    const daemon = [...this.cluster.daemons.keys()][0] ?? "";
    const entries = (await listResources(this, daemon, "auditentries")).filter(({ spec }) => spec.kind === kind && spec.name === name);
    expect(entries.length).to.equal(count);
});

When("two operators change {word} {word} at its current version at the same time through {word} and {word}", async function (this: ClusterWorld, kind: string, name: string, first: string, second: string) {
    const item = (await listResources(this, first, kind)).find(each => each.name === name);
    const change = async (daemon: string, bytes: number) => {
        const res = await request(`http://${this.cluster.daemons.get(daemon)?.operator}/apis/v1/${kind}/${name}`, {
            method: "PUT",
            headers: { "x-medlarlb-operator": `operator-${daemon}` },
            body: JSON.stringify({ spec: { bytes }, resourceVersion: item?.resourceVersion }),
        });
        return { status: res.statusCode, body: await res.body.json() as Record<string, unknown> };
    };
    this.changes = await Promise.all([change(first, 111), change(second, 222)]);
});

Then("one of them gets a conflict that names the other's change", function (this: ClusterWorld) {
    expect(this.changes.map(each => each.status).sort()).to.deep.equal([200, 409]);
    const winner = this.changes.findIndex(each => each.status === 200);
    const loser = this.changes[1 - winner];
    expect(String(loser?.body.detail)).to.match(/another change changed it \(operator operator-/);
});
