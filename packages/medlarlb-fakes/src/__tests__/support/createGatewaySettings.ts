/** Addresses in the settings of a gateway: those that it listens on, and that of the metadata store. */
interface Addresses {
    caller: string;
    readiness: string;
    peer: string;
    metrics: string;
    store: string;
}

/** Creates the text of a gateway's settings file. `policy` are lines of the section of that name. */
export const createGatewaySettings = (
    { caller, readiness, peer, metrics, store }: Addresses,
    seeds = "",
    policy: readonly string[] = [],
): string => [
    "[instance]",
    "zone = a",
    "[caller]",
    `address = ${caller}`,
    "[readiness]",
    `address = ${readiness}`,
    "[peer]",
    `address = ${peer}`,
    `seeds = ${seeds}`,
    "key = sixteen-characters",
    "[store]",
    `address = ${store}`,
    "[metrics]",
    `address = ${metrics}`,
    "[policy]",
    ...policy,
    "[limits]",
    "graceSeconds = 6",
    // An instance has its part of the retry budget one and a half windows after its start.
    "retryWindowSeconds = 4",
].join("\n");
