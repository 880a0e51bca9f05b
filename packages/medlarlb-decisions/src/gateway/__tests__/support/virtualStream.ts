interface Attempt {
    instance: number;
    atMs: number;
    /** Whether its instance was in touch, and two targets of its version served, when it was taken up. */
    isOwed: boolean;
    hasBegun: boolean;
}

/** A caller's stream over all its attempts. */
export interface VirtualStream {
    /** Id of the attempt that brought the first event. */
    firstId: string | undefined;
    versions: string[];
    attempts: Attempt[];
    refusals: string[];
}
