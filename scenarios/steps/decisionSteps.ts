import { Then } from "@cucumber/cucumber";
import { expect } from "chai";
import { waitFor } from "medlarlb-fakes/cluster/waitFor";
import { listResources } from "./clusterSteps.js";
import type { ClusterWorld } from "./clusterWorld.js";

Then("every instance shows the decision to load {}, then the loaded decision that names it as cause", async function (this: ClusterWorld, itemId: string) {
    for (const daemon of this.cluster.daemons.keys()) {
        const decisions = await waitFor(`the loaded decision of ${itemId} at ${daemon}`, async () => {
            const found = (await listResources(this, daemon, "decisions")).filter(({ spec }) => spec.subject === itemId);
            return found.some(({ spec }) => spec.action === "loaded") && found;
        });
        const load = decisions.findIndex(({ spec }) => spec.action === "load");
        const loaded = decisions.findIndex(({ spec }) => spec.action === "loaded");
        expect(load, daemon).to.be.within(0, loaded - 1);
        expect(decisions[loaded]?.spec.cause, daemon).to.equal(decisions[load]?.name);
    }
});
