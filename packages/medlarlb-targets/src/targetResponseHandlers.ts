import type { TargetRequestFailure } from "./targetRequestFailure.js";

/** Callbacks of a call to a target. Exactly one of `onEnd` and `onFailure` is called last. */
export interface TargetResponseHandlers {
    onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
    onChunk: (chunk: Buffer) => void;
    onEnd: () => void;
    onFailure: (failure: TargetRequestFailure) => void;
}
