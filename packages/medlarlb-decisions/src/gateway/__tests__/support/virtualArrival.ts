/** A request that has reached a virtual target. */
export interface VirtualArrival {
    atMs: number;
    content: string;
    /** Time at which the caller sent it. */
    sentAtMs: number;
    targetId: string;
    instance: number;
    /** Whether the instance had been undisturbed for a while. */
    inTouch: boolean;
    /** Time at which the target first told the instance of a limit. */
    toldAtMs: number | undefined;
}
