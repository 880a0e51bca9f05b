import type { SettingRule } from "./settingRule.js";

const limit = (key: string, remedy: string, defaultValue: string, kind: "number" | "optionalNumber" = "number"): SettingRule =>
    ({ section: "limits", key, kind, defaultValue, remedy });

/** Rules of the settings of an instance that reads its routes from the platform's store. */
export const gatewaySettingRules: readonly SettingRule[] = [
    { section: "instance", key: "zone", kind: "name", remedy: "write the availability zone of this instance, such as zone = a" },
    { section: "caller", key: "address", kind: "address", remedy: "write the address for callers, such as address = 10.0.0.4:8080" },
    { section: "readiness", key: "address", kind: "address", remedy: "write the address of the readiness check, such as address = 10.0.0.4:8081" },
    { section: "peer", key: "address", kind: "address", remedy: "write the address for other instances, such as address = 10.0.0.4:7080" },
    { section: "peer", key: "seeds", kind: "anyText", defaultValue: "", remedy: "write peer addresses of other instances, separated by commas" },
    { section: "peer", key: "key", kind: "secret", remedy: "write the secret that all instances share, of 16 characters or more" },
    { section: "store", key: "address", kind: "address", remedy: "write the address of the platform's store, such as address = 10.0.0.2:8142" },
    { section: "metrics", key: "address", kind: "address", remedy: "write the address of the metrics page, such as address = 10.0.0.4:9100" },
    { section: "policy", key: "routing", kind: "routingPolicy", defaultValue: "predict", remedy: "write predict, or one of the baselines twoChoices and random" },
    {
        section: "policy",
        key: "extraWorkRatio",
        kind: "number",
        defaultValue: "0",
        remedy: "write the second attempts of slow requests as a share of the targets' work, such as 0.05, or 0 for none",
    },
    {
        section: "policy",
        key: "engineMemoryRatio",
        kind: "number",
        defaultValue: "0",
        remedy: "write the part of an engine's memory that requests may hold, such as 1, or 0 if memory isn't to be counted",
    },
    limit("graceSeconds", "write the time in s that a planned stop may take", "8"),
    limit("leaseMs", "write the shortest time in ms between the orders of two successive planners of a zone", "3000"),
    limit("retryRatio", "write the retries as a share of the requests of a service, such as 0.2", "0.2"),
    limit("retryWindowSeconds", "write the window of the retry budget in s", "10"),
    limit("retryExtra", "write how many retries a service may make in a window in addition to the share", "50"),
    limit("storeLoadWindowSeconds", "write the window of the limit on loads from the weight store in s", "5"),
    limit("storeLoadFactor", "write the factor by which loads may exceed the store's rate, such as 1.1", "1.1"),
    limit("quotaWindowSeconds", "write the window of workspaces' quotas in s", "8", "optionalNumber"),
    limit("quotaOverage", "write the part by which use in a window may exceed rate and burst, such as 0.1", "0.1", "optionalNumber"),
    limit("quotaSlack", "write the use in a window that is allowed in addition", "0", "optionalNumber"),
];
