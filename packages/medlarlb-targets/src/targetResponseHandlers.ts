import type { TargetRequestFailure } from "./targetRequestFailure.js";

/** Callbacks of a call to a target. The last call is either `onEnd` or `onFailure`, unless the call is aborted. */
export interface TargetResponseHandlers {
    onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
    onChunk: (chunk: Buffer) => void;
    onEnd: () => void;
    onFailure: (failure: TargetRequestFailure) => void;
}
