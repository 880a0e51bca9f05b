import { setTimeout as sleep } from "node:timers/promises";
import { createCluster } from "./cluster/createCluster.js";
import { readUsage } from "./cluster/readUsage.js";
import { waitFor } from "./cluster/waitFor.js";

interface Sample {
    cpuSeconds: number;
    memoryBytes: number;
    sentBytes: number;
    kvCalls: number;
    polls: number;
}

const DEFAULT_SIZES = "4,8,16,32";
const ENGINES = 8;
const MODELS = 40;
const SETTLE_MS = 8_000;
const MEASURE_MS = 10_000;
const ZONES = ["a", "b"];

const sizes = (process.argv[2] ?? DEFAULT_SIZES).split(",").map(Number);

const measure = async (size: number): Promise<void> => {
    const cluster = await createCluster({ policy: { loadsPerSecond: 100, fullSpeedLoads: 100 } });
    try {
        for (let index = 0; index < ENGINES; index += 1) {
            await cluster.startEngine(`e${index}`, ZONES[index % ZONES.length] as string, { memoryBytes: 10_000 });
        }
        for (let index = 0; index < size; index += 1) {
            await cluster.startDaemon(`d${index}`, ZONES[index % ZONES.length] as string);
        }
        await cluster.declare([...cluster.targets.values()].map(({ id, spec }) => ({ kind: "targets", name: id, spec })));
        for (let index = 0; index < MODELS; index += 1) {
            await cluster.declare([{ kind: "models", name: `m${index}`, spec: { bytes: 500 } }]);
        }
        const daemons = [...cluster.daemons.values()];
        const last = daemons.at(-1);
        await waitFor("all models ready", async () => {
            const { items } = await cluster.call("GET", `http://${last?.operator}/apis/v1/models`);
            return (items as { status: { ready: boolean } }[]).filter(item => item.status.ready).length === MODELS;
        });
        await sleep(SETTLE_MS);
        const sample = async (): Promise<Sample[]> => Promise.all(daemons.map(async ({ operator, process: { child } }) => {
            const { counters } = await cluster.call("GET", `http://${operator}/status`) as { counters: Record<string, number> };
            const kvCalls = Object.entries(counters).reduce((sum, [name, count]) => sum + (name.startsWith("kv.calls") ? count : 0), 0);
            return { ...readUsage(child.pid ?? 0), sentBytes: counters["peer.sent.bytes"] ?? 0, kvCalls, polls: counters["target.polls"] ?? 0 };
        }));
        const before = await sample();
        await sleep(MEASURE_MS);
        const after = await sample();
        const rate = (key: keyof Sample): number[] =>
            after.map((each, index) => (each[key] - (before[index]?.[key] ?? 0)) / MEASURE_MS * 1_000);
        const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
        const cells = [
            String(size).padStart(7),
            (mean(rate("cpuSeconds")) * 100).toFixed(2).padStart(9),
            (mean(after.map(each => each.memoryBytes)) / 1_048_576).toFixed(0).padStart(6),
            mean(rate("sentBytes")).toFixed(0).padStart(11),
            Math.max(...rate("sentBytes")).toFixed(0).padStart(10),
            mean(rate("kvCalls")).toFixed(2).padStart(11),
            mean(rate("polls")).toFixed(1).padStart(8),
        ];
        console.log(cells.join(" "));
    }
    finally {
        await cluster.stopAll();
    }
};

console.log("daemons  cpu %core     MB   sent B/s   most B/s   kv calls/s  polls/s   (means per daemon, no requests)");
for (const size of sizes) {
    await measure(size);
}
