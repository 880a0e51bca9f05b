import { createOperatorConfig } from "./createOperatorConfig.js";

/**
 * Creates a configuration document whose workspaces have the given keys by name. It has the routes of `createOperatorConfig`, one
 * that is public, and an unsafe streaming one whose runs are copied to a second engine.
 */
export const createWorkspaceConfig = (version: number, keys: Record<string, string[]>) => {
    const config = createOperatorConfig(version);
    const [safe, , stream] = config.routes;
    return {
        ...config,
        routes: [
            ...config.routes,
            { ...safe, name: "public", prefix: "/public/", public: true },
            { ...stream, name: "copied", prefix: "/stream/copied/", service: "s" },
        ],
        services: config.services.map(service => ({ ...service, engine: { slots: 8, kv_capacity: 100_000, backups: true, models: [] } })),
        tenants: Object.entries(keys).map(([name, list]) => ({ name, api_keys: list, priority: 1 })),
    };
};
