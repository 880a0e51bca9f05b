/** Why a call to the KV service failed. The remedy is always to try again later or to check the service's address. */
export interface KvError {
    kind: "unavailable";
    message: string;
}
