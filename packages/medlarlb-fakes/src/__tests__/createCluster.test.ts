import { expect } from "chai";
import { createCluster } from "../cluster/createCluster.js";

describe("createCluster", () => {
    it("kills processes that are still starting when the cluster stops, and refuses to start processes afterwards", async () => {
        const cluster = await createCluster();
        const engine = await cluster.startEngine("e1", "a");
        engine.process.child.kill("SIGKILL");
        await engine.process.exited;
        const restarting = engine.restart();
        await cluster.stopAll();
        const restarted = await restarting;
        const running = restarted.isRunning();
        restarted.child.kill("SIGKILL");
        expect(running).to.equal(false);
        const late = await engine.restart().catch((err: Error) => err);
        expect(late).to.be.instanceOf(Error);
    });
});
