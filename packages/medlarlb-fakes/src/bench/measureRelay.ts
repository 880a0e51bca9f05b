import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { findFreePort } from "../cluster/findFreePort.js";
import { readProcessUsage } from "../cluster/readProcessUsage.js";
import { waitFor } from "../cluster/waitFor.js";
import { listen } from "../shared/listen.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createStreamingEngine } from "./createStreamingEngine.js";

interface RelayCost {
    requests: number;
    /** Processor time of the daemon per request, without its idle time, in ms. */
    msPerRequest: number;
    eventsPerSecond: number;
    /** Share of a core that the daemon used while it relayed, and while it was idle. */
    coreShare: number;
    idleCoreShare: number;
}

const HOST = "bench.example";
const SERVICE = "llm";
const EVENTS_PER_REQUEST = 20;
const EVENT_INTERVAL_MS = 20;
const REQUESTS_PER_SECOND = 100;
const WARM_UP_MS = 4_000;
const IDLE_MS = 4_000;
const MEASUREMENT_MS = 8_000;
const MS_PER_SECOND = 1_000;

const config = {
    version: 1,
    routes: [{ name: "stream", host: HOST, prefix: "/s/", kind: "streaming", timeout_ms: 8_000, service: SERVICE, max_attempts: 1, target_latency_ms: 800, target_gap_ms: 400 }],
    services: [{
        name: SERVICE,
        health_path: "/health",
        max_conns: 1_000,
        engine: { slots: 1_000, kv_capacity: 10_000_000, weights_mb: 230_000, adapter_slots: 8, loads_per_s: 1, models: [{ name: "m0", weights_mb: 70_000, load_time_s: 1 }] },
    }],
    limits: { max_header_bytes: 8_192, max_body_bytes: 100_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
};

const createSettings = (ports: readonly number[], storePort: number): string => [
    "[instance]",
    "zone = a",
    "[caller]",
    `address = 127.0.0.1:${ports[0]}`,
    "[readiness]",
    `address = 127.0.0.1:${ports[1]}`,
    "[peer]",
    `address = 127.0.0.1:${ports[2]}`,
    "seeds =",
    "key = sixteen-characters",
    "[store]",
    `address = 127.0.0.1:${storePort}`,
    "[metrics]",
    `address = 127.0.0.1:${ports[3]}`,
].join("\n");

const send = async (agent: Agent, origin: string, sequence: number): Promise<boolean> => {
    const res = await agent.request({
        origin,
        path: "/s/x",
        method: "POST",
        headers: {
            "host": HOST,
            "content-type": "application/json",
            "x-request-id": `bench${sequence}`,
            "x-deadline-ms": "8000",
            "x-model": "m0",
            "x-token-count": "30,200",
            "x-prompt-prefix": `5c1e07a2:20,${sequence.toString(16)}:10`,
            "x-length-hint": "120",
        },
        body: "{\"prompt\":\"a short question\"}",
    });
    const text = await res.body.text();
    return res.statusCode === 200 && text.includes(`id: ${EVENTS_PER_REQUEST}\n`);
};

/** Sends requests at a fixed rate for `ms` and returns how many were answered completely. */
const sendAtFixedRate = async (agent: Agent, origin: string, ms: number): Promise<number> => {
    const total = ms * REQUESTS_PER_SECOND / MS_PER_SECOND;
    const startedAtMs = performance.now();
    const open: Promise<boolean>[] = [];
    for (let index = 0; index < total; index += 1) {
        const dueInMs = index * MS_PER_SECOND / REQUESTS_PER_SECOND - (performance.now() - startedAtMs);
        if (dueInMs > 0) {
            await sleep(dueInMs);
        }
        open.push(send(agent, origin, index));
    }
    return (await Promise.all(open)).filter(Boolean).length;
};

/** Starts a gateway process from `script` beside stand-ins of the store and of an engine, and measures what streams cost it. */
export const measureRelay = async (script: string): Promise<RelayCost> => {
    const folder = mkdtempSync(join(tmpdir(), "medlarlb-bench-"));
    const store = createMetadataStoreServer();
    const engine = createStreamingEngine("e1", { events: EVENTS_PER_REQUEST, intervalMs: EVENT_INTERVAL_MS });
    const storePort = await listen(store.server as Server, 0);
    const enginePort = await listen(engine, 0);
    const ports = await Promise.all(Array.from({ length: 4 }, findFreePort));
    store.put("op/config", JSON.stringify(config));
    store.put("servers/e1", JSON.stringify({
        service: SERVICE,
        address: `127.0.0.1:${enginePort}`,
        zone: "a",
        slots: 1_000,
        state: "ready",
        seq: 1,
        models: [{ name: "m0", version: 1, adapters: [] }],
    }));
    const settings = join(folder, "settings.ini");
    writeFileSync(settings, createSettings(ports, storePort));
    const gateway = spawn(process.execPath, [script], { env: { ...process.env, MEDLARLB_CONFIG: settings }, stdio: ["ignore", "ignore", "inherit"] });
    const agent = new Agent({ connections: 256 });
    const origin = `http://127.0.0.1:${ports[0]}`;
    try {
        await waitFor("the gateway answers", async () => send(agent, origin, 0).catch(() => false));
        const cpuSeconds = (): number => readProcessUsage(gateway.pid ?? 0).cpuSeconds;
        await sendAtFixedRate(agent, origin, WARM_UP_MS);
        const beforeIdle = cpuSeconds();
        await sleep(IDLE_MS);
        const idleCoreShare = (cpuSeconds() - beforeIdle) / IDLE_MS * MS_PER_SECOND;
        const before = cpuSeconds();
        const startedAtMs = performance.now();
        const requests = await sendAtFixedRate(agent, origin, MEASUREMENT_MS);
        const elapsedSeconds = (performance.now() - startedAtMs) / MS_PER_SECOND;
        const used = cpuSeconds() - before;
        return {
            requests,
            msPerRequest: (used - idleCoreShare * elapsedSeconds) * MS_PER_SECOND / requests,
            eventsPerSecond: requests * EVENTS_PER_REQUEST / elapsedSeconds,
            coreShare: used / elapsedSeconds,
            idleCoreShare,
        };
    }
    finally {
        gateway.kill("SIGKILL");
        await agent.destroy();
        engine.closeAllConnections();
        engine.close();
        store.close();
        rmSync(folder, { recursive: true, force: true });
    }
};
