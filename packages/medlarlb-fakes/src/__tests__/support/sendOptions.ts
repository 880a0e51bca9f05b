/** Parts of a request to a gateway that tests vary. */
export interface SendOptions {
    body?: string;
    host?: string;
    headers?: Record<string, string>;
    /** Address of the gateway; the first one if it isn't given. */
    to?: string;
}
