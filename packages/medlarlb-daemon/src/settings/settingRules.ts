import type { SettingRule } from "./settingRule.js";

const DEFAULT_MAX_BODY_BYTES = "4194304";
const DEFAULT_DEADLINE_MS = "30000";
const DEFAULT_FIRST_BYTE_MS = "10000";
const DEFAULT_IDLE_MS = "2000";
const DEFAULT_PLATFORM_TIMEOUT_MS = "1000";

const policy = (key: string, defaultValue: string, remedy: string): SettingRule =>
    ({ section: "policy", key, kind: "number", defaultValue, remedy });

/** Rules of a daemon's settings, in the order in which the documentation lists them. */
export const settingRules: readonly SettingRule[] = [
    { section: "instance", key: "id", kind: "name", remedy: "write the id under which the platform lists this instance, such as id = a1" },
    { section: "instance", key: "zone", kind: "name", remedy: "write the availability zone of this instance, such as zone = a" },
    { section: "caller", key: "address", kind: "address", remedy: "write the address for callers, such as address = 10.0.0.4:8080" },
    { section: "caller", key: "maxBodyBytes", kind: "number", defaultValue: DEFAULT_MAX_BODY_BYTES, remedy: "write a number of bytes" },
    { section: "caller", key: "defaultDeadlineMs", kind: "number", defaultValue: DEFAULT_DEADLINE_MS, remedy: "write a time in ms" },
    { section: "caller", key: "firstByteMs", kind: "number", defaultValue: DEFAULT_FIRST_BYTE_MS, remedy: "write a time in ms" },
    { section: "caller", key: "idleMs", kind: "number", defaultValue: DEFAULT_IDLE_MS, remedy: "write a time in ms" },
    { section: "operator", key: "address", kind: "address", remedy: "write the address for operators, such as address = 10.0.0.4:9080" },
    { section: "peer", key: "address", kind: "address", remedy: "write the address for other instances, such as address = 10.0.0.4:7080" },
    { section: "peer", key: "key", kind: "secret", remedy: "write the secret that all instances share, of 16 characters or more" },
    { section: "platform", key: "kv", kind: "url", remedy: "write the KV service's gateway, such as kv = http://10.0.0.2:2379" },
    { section: "platform", key: "instances", kind: "url", remedy: "write the instance list, such as instances = http://10.0.0.2:8500/instances" },
    { section: "platform", key: "timeoutMs", kind: "number", defaultValue: DEFAULT_PLATFORM_TIMEOUT_MS, remedy: "write a time in ms" },
    policy("attainmentWeight", "1", "write the value of one request per second that is served in time"),
    policy("moveWeight", "1", "write the cost of one load or unload"),
    policy("loadsPerSecond", "2.5", "write the loads per second that the weight store allows"),
    policy("fullSpeedLoads", "3", "write how many loads the weight store serves at full speed"),
    policy("maxQueueLength", "256", "write how many requests for one model, adapter or service may wait"),
    policy("maxAttempts", "4", "write how many targets a request is tried on"),
    policy("retryShare", "0.2", "write the retries as a share of the requests, such as 0.2"),
    policy("orderLingerMs", "10000", "write the longest time in ms that an order may be under way after its sender is gone"),
    policy("targetSilentMs", "3000", "write the age of a report from which its target counts as silent, in ms"),
    policy("anchorRepairStepMs", "5000", "write the extra delay in ms of each further zone before it replaces a lost anchor"),
    policy("minResidenceMs", "15000", "write the shortest time in ms before a replica may be evicted"),
    { section: "metrics", key: "statsd", kind: "optionalAddress", defaultValue: "", remedy: "write the StatsD address, such as statsd = 127.0.0.1:8125, or leave it out" },
];
