import type { VirtualStream } from "./virtualStream.js";

/** A caller's attempt that an instance has. */
export interface VirtualStreamCall {
    stream: VirtualStream;
    attempt: VirtualStream["attempts"][number];
    /** Number of the latest attempt at a target. */
    latest: number;
    /** Called when the instance breaks the connection, or refuses with a reason. */
    end: (refusal: string | undefined) => void;
}
