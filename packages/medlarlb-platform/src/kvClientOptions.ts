/** Options of the KV client. */
export interface KvClientOptions {
    /** Base URL of the JSON gateway, such as `http://10.0.0.2:2379`. */
    url: string;
    /** Sent as the user agent, so that the service's operators can tell the instances apart. */
    instanceId: string;
    timeoutMs: number;
    /** Counts each call under its path. */
    countCall: (path: string) => void;
}
