/**
 * Why a request to the store failed. `conflict`: a condition didn't hold. `compacted`: the store no longer has the
 * history for a watch. `noLease`: the lease has ended. `refused`: nothing was done. `unknown`: there was no response, and
 * the change may have taken effect or may still do so. `tooLong`: as `unknown`, for a response that exceeded its bound.
 */
export interface StoreError {
    kind: "conflict" | "compacted" | "noLease" | "refused" | "tooLong" | "unknown";
    message: string;
}
