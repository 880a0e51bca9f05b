import { After, Before, setDefaultTimeout, setWorldConstructor, World } from "@cucumber/cucumber";
import { createCluster } from "medlarlb-fakes/cluster/createCluster";
import type { readStream } from "medlarlb-fakes/cluster/readStream";

type Cluster = Awaited<ReturnType<typeof createCluster>>;
type Answer = Awaited<ReturnType<typeof readStream>>;

const STEP_TIMEOUT_MS = 90_000; // long on purpose: it ends only a step that can't succeed any more

/** State of one scenario: its processes, its requests and their answers. */
export class ClusterWorld extends World {
    cluster!: Cluster;
    /** Settings of the section [policy] of each daemon. */
    policy: Record<string, number> = {};
    /** Settings of the section [caller] of each daemon. */
    callerSettings: Record<string, number> = {};
    /** Answers to the streamed requests, in the order of `prompts`. */
    answers: Promise<Answer | Error>[] = [];
    prompts: string[] = [];
    /** Answers to the calls of services. */
    posts: Promise<{ status: number; body: Record<string, unknown> } | Error>[] = [];
    /** Responses to changes that operators made at the same time. */
    changes: { status: number; body: Record<string, unknown> }[] = [];
    /** Target that a step killed or marked as leaving. */
    chosenTarget = "";
    /** Number of prompts that `chosenTarget` had started when its model was ready elsewhere. */
    startedPromptsBefore = 0;
    /** Whether the scenario has ended, so that no process is restarted any more. */
    hasEnded = false;
    /** Returns to an earlier configuration that the background observer has found. */
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
