import type { SettingRule } from "./settingRule.js";

const limit = (key: string, remedy: string, defaultValue: string): SettingRule => ({ section: "limits", key, kind: "number", defaultValue, remedy });

/** Settings of an instance that takes its routes from the platform's store. */
export const gatewaySettingRules: readonly SettingRule[] = [
    { section: "instance", key: "zone", kind: "name", remedy: "write the availability zone of this instance, such as zone = a" },
    { section: "caller", key: "address", kind: "address", remedy: "write the address for callers, such as address = 10.0.0.4:8080" },
    { section: "readiness", key: "address", kind: "address", remedy: "write the address of the readiness check, such as address = 10.0.0.4:8081" },
    { section: "peer", key: "address", kind: "address", remedy: "write the address for other instances, such as address = 10.0.0.4:7080" },
    { section: "peer", key: "seeds", kind: "optionalAddresses", defaultValue: "", remedy: "write peer addresses of other instances, separated by commas" },
    { section: "peer", key: "key", kind: "secret", remedy: "write the secret that all instances share, of 16 characters or more" },
    { section: "store", key: "address", kind: "address", remedy: "write the address of the platform's store, such as address = 10.0.0.2:8142" },
    { section: "metrics", key: "address", kind: "address", remedy: "write the address of the metrics page, such as address = 10.0.0.4:9100" },
    { section: "policy", key: "routing", kind: "routingPolicy", defaultValue: "predict", remedy: "write predict, or one of the baselines twoChoices and random" },
    limit("graceSeconds", "write the time in s that a planned stop may take", "8"),
    limit("leaseMs", "write the time in ms that holders of a duty keep between their orders", "3000"),
    limit("retryRatio", "write the retries as a share of the requests of a service, such as 0.2", "0.2"),
    limit("retryWindowSeconds", "write the window of the retry budget in s", "10"),
    limit("retryExtra", "write the retries of a service in a window beyond the share", "50"),
    limit("storeLoadWindowSeconds", "write the window of the limit on loads from the weight store in s", "5"),
    limit("storeLoadFactor", "write how far loads may go beyond the store's rate, such as 1.1", "1.1"),
];
