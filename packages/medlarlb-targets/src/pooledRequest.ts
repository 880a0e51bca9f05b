/** A request on its way to a target. */
export interface PooledRequest {
    /** Gives the exchange up and closes its connection, so that the target stops work on it. No handler is called after. */
    abort: () => void;
    resume: () => void;
}
