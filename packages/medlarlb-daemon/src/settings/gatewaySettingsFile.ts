/** Validated settings of an instance that reads its routes from the platform's store. */
export interface GatewaySettingsFile {
    instance: { zone: string };
    caller: { address: string };
    readiness: { address: string };
    peer: { address: string; seeds: string; key: string };
    store: { address: string };
    metrics: { address: string };
    policy: { routing: "predict" | "twoChoices" | "random"; extraWorkRatio: number; engineMemoryRatio: number };
    limits: {
        graceSeconds: number;
        leaseMs: number;
        retryRatio: number;
        retryWindowSeconds: number;
        retryExtra: number;
        storeLoadWindowSeconds: number;
        storeLoadFactor: number;
        quotaWindowSeconds: number;
        quotaOverage: number;
        quotaSlack: number;
    };
}
