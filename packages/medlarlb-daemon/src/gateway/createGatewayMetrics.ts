import { createServer } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { createWorkspaceAnswers } from "./createWorkspaceAnswers.js";

const MS_PER_SECOND = 1_000;
const LATENCY_BUCKETS_MS = [5, 10, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800];
const ERROR_BUCKETS_MS = [-800, -400, -200, -100, -50, -20, 0, 20, 50, 100, 200, 400, 800, 1_600];

/** Creates the counters and histograms of an instance, and the server that exposes them in the Prometheus text format. */
export const createGatewayMetrics = () => {
    const registry = new Registry();
    const events = new Counter({ name: "medlarlb_events_total", help: "Decisions and other events, by name", labelNames: ["event"], registers: [registry] });
    const answers = new Counter({ name: "medlarlb_answers_total", help: "Final answers to callers, by status and who gave it", labelNames: ["status", "by"], registers: [registry] });
    const storeCalls = new Counter({ name: "medlarlb_store_calls_total", help: "Calls to the platform's store", labelNames: ["call"], registers: [registry] });
    const peerBytes = new Counter({ name: "medlarlb_peer_bytes_total", help: "Bytes to and from other instances", labelNames: ["direction"], registers: [registry] });
    const connections = new Counter({ name: "medlarlb_target_connections_total", help: "Connections opened to targets", registers: [registry] });
    const gauge = (name: string, help: string, read: () => number) => new Gauge({
        name,
        help,
        registers: [registry],
        collect(): void {
            this.set(read());
        },
    });
    gauge("medlarlb_process_resident_bytes", "Memory of the process", () => process.memoryUsage.rss());
    gauge("medlarlb_process_start_time_seconds", "Start of the process, as Unix time", () => performance.timeOrigin / MS_PER_SECOND);
    const histogram = (name: string, help: string, buckets: number[]) => new Histogram({ name, help, buckets, registers: [registry] });
    const server = createServer((_req, res) => {
        registry.metrics().then(text => res.end(text), err => res.writeHead(500).end(String(err)));
    });
    return {
        events,
        answers,
        storeCalls,
        peerBytes,
        connections,
        workspaceAnswers: createWorkspaceAnswers(registry),
        firstEventMs: histogram("medlarlb_first_event_ms", "Time from arrival to the first event or byte of an answer, in ms", LATENCY_BUCKETS_MS),
        waitMs: histogram("medlarlb_wait_ms", "Time from arrival until a request was sent to a target, in ms", LATENCY_BUCKETS_MS),
        predictionErrorMs: histogram("medlarlb_prediction_error_ms", "Seen less predicted time to the first event, in ms", ERROR_BUCKETS_MS),
        orderMs: histogram("medlarlb_order_ms", "Time until an engine answered an order, in ms", LATENCY_BUCKETS_MS),
        server,
    };
};
