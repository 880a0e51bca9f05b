import { After, Before, setDefaultTimeout, setWorldConstructor, World } from "@cucumber/cucumber";
import { createCluster } from "medlarlb-fakes/cluster/createCluster";
import type { readStream } from "medlarlb-fakes/cluster/readStream";

type Cluster = Awaited<ReturnType<typeof createCluster>>;
type Answer = Awaited<ReturnType<typeof readStream>>;

const STEP_TIMEOUT_MS = 90_000; // ends only a hopeless step

/** State of one scenario: its processes and what callers got. */
export class ClusterWorld extends World {
    cluster!: Cluster;
    policy: Record<string, number> = {};
    callerSettings: Record<string, number> = {};
    answers: Promise<Answer | Error>[] = [];
    prompts: string[] = [];
    posts: Promise<{ status: number; body: Record<string, unknown> } | Error>[] = [];
    changes: { status: number; body: Record<string, unknown> }[] = [];
    /** The target that a step chose, and what it had started by then. */
    chosenTarget = "";
    startedPromptsBefore = 0;
    hasEnded = false;
    /** What the background observer found wrong. */
    observedFaults: string[] = [];
    stopObserver: () => Promise<void> = async () => undefined;

    async start(): Promise<void> {
        this.cluster = await createCluster({ policy: this.policy, caller: this.callerSettings });
    }
}

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(ClusterWorld);

Before(function (this: ClusterWorld) {
    this.policy = { orderLingerMs: 2_000, anchorRepairStepMs: 1_500, loadsPerSecond: 50, fullSpeedLoads: 20, minResidenceMs: 500 };
});

After(async function (this: ClusterWorld, { result }) {
    this.hasEnded = true;
    await this.stopObserver();
    if (result?.status === "FAILED" && this.cluster !== undefined) {
        for (const { id, process } of this.cluster.daemons.values()) {
            this.log(`${id}: ${process.errors().slice(-2_000)}`);
        }
    }
    await this.cluster?.stopAll();
});
