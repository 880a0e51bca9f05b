/** Callbacks of each request that the connection pool sends. Exactly one of `onEnd` and `onFailure` comes last. */
export interface PooledResponseHandlers {
    onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
    /** Returns whether more may be delivered at once. Otherwise delivery pauses until `resume` of the request is called. */
    onChunk: (chunk: Buffer) => boolean;
    onEnd: () => void;
    /** `sent`: whether any byte of the request may have reached the target. `malformed`: whether the response wasn't valid HTTP. */
    onFailure: (failure: { sent: boolean; malformed: boolean; reason: string }) => void;
}
