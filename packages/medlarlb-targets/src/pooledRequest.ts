/** A request in progress on a connection of the pool. */
export interface PooledRequest {
    /** Abandons this request and closes its connection, so that the target stops work on it. No handler is called afterwards. */
    abort: () => void;
    /** Continues the response after `onChunk` returned false. */
    resume: () => void;
}
