/** Validated settings of a daemon. Times are in ms. Addresses consist of an IPv4 address and a port. */
export interface Settings {
    instance: { id: string; zone: string };
    caller: { address: string; maxBodyBytes: number; defaultDeadlineMs: number; firstByteMs: number; idleMs: number };
    operator: { address: string };
    peer: { address: string; key: string };
    platform: { kv: string; instances: string; timeoutMs: number };
    policy: Record<PolicyKey, number>;
    metrics: { statsd: string };
}

type PolicyKey =
    | "attainmentWeight"
    | "moveWeight"
    | "loadsPerSecond"
    | "fullSpeedLoads"
    | "maxQueueLength"
    | "maxAttempts"
    | "retryShare"
    | "orderLingerMs"
    | "targetSilentMs"
    | "anchorRepairStepMs"
    | "minResidenceMs";
