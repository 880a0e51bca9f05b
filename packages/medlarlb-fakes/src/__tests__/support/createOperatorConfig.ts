const ROUTE_HOST = "site.example";

/** Creates a configuration document of the users' operator, with routes of each kind. */
export const createOperatorConfig = (version: number) => ({
    version,
    routes: [
        { name: "safe", host: ROUTE_HOST, prefix: "/safe/", kind: "safe", timeout_ms: 2_000, service: "s", max_attempts: 2 },
        { name: "unsafe", host: ROUTE_HOST, prefix: "/unsafe/", kind: "unsafe", timeout_ms: 2_000, service: "s", max_attempts: 1 },
        { name: "stream", host: ROUTE_HOST, prefix: "/stream/", kind: "streaming", timeout_ms: 4_000, service: "s", max_attempts: 1 },
        { name: "other", host: ROUTE_HOST, prefix: "/other/", kind: "safe", timeout_ms: 2_000, service: "other", max_attempts: 1 },
        { name: "resumable", host: ROUTE_HOST, prefix: "/stream/again/", kind: "streaming", timeout_ms: 4_000, service: "s", max_attempts: 2, resumable: true },
    ],
    services: ["s", "other"].map(name => ({ name, health_path: "/health", max_conns: 50 })),
    limits: { max_header_bytes: 4_096, max_body_bytes: 10_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
});
