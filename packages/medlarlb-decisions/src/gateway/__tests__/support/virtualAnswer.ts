/** A final answer that an instance has made itself. */
export interface VirtualAnswer {
    atMs: number;
    content: string;
    status: number;
    reason: string;
    instance: number;
    inTouch: boolean;
    heldMs: number;
    retryAfterMs: number | undefined;
}
