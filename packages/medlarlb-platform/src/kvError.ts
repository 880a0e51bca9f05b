/** Why the KV service could not be asked. The remedy is always to try again later or to check its address. */
export interface KvError {
    kind: "unavailable";
    message: string;
}
