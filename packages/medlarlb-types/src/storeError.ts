/**
 * Why the store did not do what it was asked. `conflict`: a condition didn't hold; `compacted`: the history of a watch
 * is gone; `noLease`: the lease has ended; `refused`: nothing was done; `unknown`: no answer, it may have happened or
 * may still happen.
 */
export interface StoreError {
    kind: "conflict" | "compacted" | "noLease" | "refused" | "unknown";
    message: string;
}
