/** Size of a virtual service, and the requests that end its targets. */
export interface VirtualServiceOptions {
    seed: number;
    instances: number;
    zones: number;
    targets: number;
    /** Returns whether a request ends each target that begins to run it. */
    isCrashing?: (content: string) => boolean;
}
