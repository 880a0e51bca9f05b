import { StatsD } from "hot-shots";

/** Creates the metrics of a daemon. If the StatsD address is empty, only the counters for `medlarlb status` are kept. */
export const createMetrics = (address: string, tags: Record<string, string>) => {
    const [host, port] = address.split(":");
    const createClient = (): StatsD => new StatsD({
        host: host ?? "",
        port: Number(port),
        prefix: "medlarlb.",
        globalTags: tags,
        // Without a handler, an error while a metric is sent would end the process.
        errorHandler: () => undefined,
    });
    const client = address === "" ? undefined : createClient();
    const counters = new Map<string, number>();
    return {
        count: (name: string, by = 1): void => {
            counters.set(name, (counters.get(name) ?? 0) + by);
            client?.increment(name, by);
        },
        gauge: (name: string, value: number): void => {
            client?.gauge(name, value);
        },
        timing: (name: string, ms: number): void => {
            client?.timing(name, ms);
        },
        counters: (): Record<string, number> => Object.fromEntries(counters),
        close: (): void => client?.close(),
    };
};
