import { setTimeout as sleep } from "node:timers/promises";
import { createCluster } from "./cluster/createCluster.js";
import { readProcessUsage } from "./cluster/readProcessUsage.js";
import { waitFor } from "./cluster/waitFor.js";

// Measures how the idle cost of a daemon (processor time, memory, peer traffic, KV calls, polls) grows with the number of daemons.
/** Totals of one daemon since its start, and its present memory. */
interface Sample {
    cpuSeconds: number;
    memoryBytes: number;
    sentBytes: number;
    kvCalls: number;
    polls: number;
}

const DEFAULT_GROUP_SIZES = "4,8,16,32";
const ENGINE_COUNT = 8;
const MODEL_COUNT = 40;
const SETTLING_MS = 8_000;
const MEASUREMENT_MS = 10_000;
const ZONES = ["a", "b"];

/** Numbers of daemons to measure, from the first argument, such as "4,8". */
const groupSizes = (process.argv[2] ?? DEFAULT_GROUP_SIZES).split(",").map(Number);

const measure = async (groupSize: number): Promise<void> => {
    const cluster = await createCluster({ policy: { loadsPerSecond: 100, fullSpeedLoads: 100 } });
    try {
        for (let index = 0; index < ENGINE_COUNT; index += 1) {
            await cluster.startEngine(`e${index}`, ZONES[index % ZONES.length] as string, { memoryBytes: 10_000 });
        }
        for (let index = 0; index < groupSize; index += 1) {
            await cluster.startDaemon(`d${index}`, ZONES[index % ZONES.length] as string);
        }
        await cluster.declare([...cluster.targets.values()].map(({ id, spec }) => ({ kind: "targets", name: id, spec })));
        for (let index = 0; index < MODEL_COUNT; index += 1) {
            await cluster.declare([{ kind: "models", name: `m${index}`, spec: { bytes: 500 } }]);
        }
        const daemons = [...cluster.daemons.values()];
        const lastDaemon = daemons.at(-1);
        await waitFor("all models are ready", async () => {
            const { items } = await cluster.call("GET", `http://${lastDaemon?.operator}/apis/v1/models`);
            return (items as { status: { ready: boolean } }[]).filter(item => item.status.ready).length === MODEL_COUNT;
        });
        await sleep(SETTLING_MS);
        const takeSamples = async (): Promise<Sample[]> => Promise.all(daemons.map(async ({ operator, process: { child } }) => {
            const { counters } = await cluster.call("GET", `http://${operator}/status`) as { counters: Record<string, number> };
            const kvCalls = Object.entries(counters).reduce((sum, [name, count]) => sum + (name.startsWith("kv.calls") ? count : 0), 0);
            return { ...readProcessUsage(child.pid ?? 0), sentBytes: counters["peer.sent.bytes"] ?? 0, kvCalls, polls: counters["target.polls"] ?? 0 };
        }));
        const before = await takeSamples();
        await sleep(MEASUREMENT_MS);
        const after = await takeSamples();
        const ratesOf = (key: keyof Sample): number[] =>
            after.map((each, index) => (each[key] - (before[index]?.[key] ?? 0)) / MEASUREMENT_MS * 1_000);
        const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
        const cells = [
            String(groupSize).padStart(7),
            (mean(ratesOf("cpuSeconds")) * 100).toFixed(2).padStart(9),
            (mean(after.map(each => each.memoryBytes)) / 1_048_576).toFixed(0).padStart(6),
            mean(ratesOf("sentBytes")).toFixed(0).padStart(11),
            Math.max(...ratesOf("sentBytes")).toFixed(0).padStart(10),
            mean(ratesOf("kvCalls")).toFixed(2).padStart(11),
            mean(ratesOf("polls")).toFixed(1).padStart(8),
        ];
        console.log(cells.join(" "));
    }
    finally {
        await cluster.stopAll();
    }
};

console.log("daemons  cpu %core     MB   sent B/s   most B/s   kv calls/s  polls/s   (means per daemon, no requests)");
for (const groupSize of groupSizes) {
    await measure(groupSize);
}
