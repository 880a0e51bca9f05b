import type { RunFailure } from "./runFailure.js";

/** What a call to a target calls. Exactly one of `onEnd` and `onFailure` comes last. */
export interface RunHandlers {
    onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
    onChunk: (chunk: Buffer) => void;
    onEnd: () => void;
    onFailure: (failure: RunFailure) => void;
}
