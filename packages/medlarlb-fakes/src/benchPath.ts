import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { createCluster } from "./cluster/createCluster.js";
import { readProcessUsage } from "./cluster/readProcessUsage.js";
import { waitFor } from "./cluster/waitFor.js";

// Measures the latency that a daemon adds to a request: paces requests at half the full rate, straight to an engine and through
// the daemon in alternate rounds, and compares the percentiles. Exits with 1 if an added percentile misses its target.
const TARGET_P50_MS = 1;
const TARGET_P99_MS = 5;
const WARM_UP_MS = 2_000;
const MEASUREMENT_MS = 5_000;
const CONNECTION_COUNT = 32;
const ROUND_COUNT = 5;
const NS_PER_US = 1_000n;

const cluster = await createCluster({ policy: { maxQueueLength: 10_000 } });

const body = JSON.stringify({ model: "aurora", messages: [{ role: "user", content: "a short question" }] });

const send = async (pool: Pool, item: string | undefined): Promise<void> => {
    const res = await pool.request({
        method: "POST",
        path: "/v1/chat/completions",
        headers: { "content-type": "application/json", ...(item === undefined ? {} : { "x-medlarlb-item": item }) },
        body,
    });
    const text = await res.body.text();
    if (res.statusCode !== 200 || !text.includes("a short question")) {
        throw new Error(`unexpected answer with status ${res.statusCode}: ${text}`);
    }
};

/** Keeps one request open on each connection for `ms` milliseconds, and returns the number of completed requests. */
const sendAtFullLoad = async (pool: Pool, ms: number): Promise<number> => {
    const endMs = Date.now() + ms;
    let count = 0;
    const loop = async (): Promise<void> => {
        while (Date.now() < endMs) {
            await send(pool, undefined);
            count += 1;
        }
    };
    await Promise.all(Array.from({ length: CONNECTION_COUNT }, loop));
    return count;
};

/** Sends requests at a fixed rate without waiting for answers, and records the time from sending to the complete answer, in µs. */
const sendAtFixedRate = async (pool: Pool, item: string | undefined, rate: number, ms: number, histogram: Histogram): Promise<void> => {
    const openRequests: Promise<void>[] = [];
    const startedNs = process.hrtime.bigint();
    const total = Math.floor(rate * ms / 1_000);
    for (let index = 0; index < total; index += 1) {
        const dueMs = index * 1_000 / rate;
        const passedMs = Number((process.hrtime.bigint() - startedNs) / 1_000_000n);
        if (dueMs > passedMs) {
            await sleep(dueMs - passedMs);
        }
        const sentNs = process.hrtime.bigint();
        openRequests.push(send(pool, item).then(() => histogram.recordValue(Number((process.hrtime.bigint() - sentNs) / NS_PER_US))));
    }
    await Promise.all(openRequests);
};

const measure = async (): Promise<boolean> => {
    const engine = await cluster.startEngine("e1", "a", { slots: 1_000, tokenMs: 0 });
    const daemon = await cluster.startDaemon("a1", "a");
    await cluster.declare([
        { kind: "targets", name: "e1", spec: engine.spec },
        { kind: "models", name: "aurora", spec: { bytes: 400 } },
    ]);
    await waitFor("aurora is ready", async () =>
        ((await cluster.call("GET", `http://${daemon.operator}/apis/v1/models/aurora`)).status as { ready?: boolean } | undefined)?.ready);
    const direct = new Pool(`http://${engine.address}`, { connections: CONNECTION_COUNT });
    const proxied = new Pool(`http://${daemon.caller}`, { connections: CONNECTION_COUNT });
    await sendAtFullLoad(proxied, WARM_UP_MS);
    const pid = daemon.process.child.pid ?? 0;
    const cpuBefore = readProcessUsage(pid).cpuSeconds;
    const count = await sendAtFullLoad(proxied, MEASUREMENT_MS);
    const cpuUsed = readProcessUsage(pid).cpuSeconds - cpuBefore;
    const fullRate = count / MEASUREMENT_MS * 1_000;
    const histograms = { direct: build(), proxied: build() };
    for (let round = 0; round < ROUND_COUNT; round += 1) {
        await sendAtFixedRate(direct, "model/aurora@v1", fullRate / 2, MEASUREMENT_MS / ROUND_COUNT, histograms.direct);
        await sendAtFixedRate(proxied, undefined, fullRate / 2, MEASUREMENT_MS / ROUND_COUNT, histograms.proxied);
    }
    const percentileMs = (histogram: Histogram, percentile: number): number => histogram.getValueAtPercentile(percentile) / 1_000;
    const addedP50 = percentileMs(histograms.proxied, 50) - percentileMs(histograms.direct, 50);
    const addedP99 = percentileMs(histograms.proxied, 99) - percentileMs(histograms.direct, 99);
    console.log(`full load: ${fullRate.toFixed(0)} requests/s, ${(count / cpuUsed).toFixed(0)} requests/s per core of the daemon`);
    console.log(`half load: ${(fullRate / 2).toFixed(0)} requests/s, direct and proxied alternate over ${ROUND_COUNT} rounds`);
    console.log(`direct:  p50 ${percentileMs(histograms.direct, 50).toFixed(2)} ms, p99 ${percentileMs(histograms.direct, 99).toFixed(2)} ms`);
    console.log(`proxied: p50 ${percentileMs(histograms.proxied, 50).toFixed(2)} ms, p99 ${percentileMs(histograms.proxied, 99).toFixed(2)} ms`);
    console.log(`added:   p50 ${addedP50.toFixed(2)} ms (target under ${TARGET_P50_MS}), p99 ${addedP99.toFixed(2)} ms (target under ${TARGET_P99_MS})`);
    await Promise.all([direct.close(), proxied.close()]);
    return addedP50 < TARGET_P50_MS && addedP99 < TARGET_P99_MS;
};

try {
    process.exitCode = await measure() ? 0 : 1;
}
finally {
    await cluster.stopAll();
}
