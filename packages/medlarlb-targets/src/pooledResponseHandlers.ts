/** What a caller of a connection pool hears of its exchange. Exactly one of `onEnd` and `onFailure` comes last. */
export interface PooledResponseHandlers {
    onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
    /** Returns whether more may come at once; otherwise `resume` of the exchange is to be called. */
    onChunk: (chunk: Buffer) => boolean;
    onEnd: () => void;
    /** `sent` tells whether any byte of the request may have reached the target. */
    onFailure: (failure: { sent: boolean; malformed: boolean; reason: string }) => void;
}
