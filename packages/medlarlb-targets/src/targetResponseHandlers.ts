import type { TargetRequestFailure } from "./targetRequestFailure.js";

/** What a call to a target calls. Exactly one of `onEnd` and `onFailure` comes last. */
export interface TargetResponseHandlers {
    onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
    onChunk: (chunk: Buffer) => void;
    onEnd: () => void;
    onFailure: (failure: TargetRequestFailure) => void;
}
