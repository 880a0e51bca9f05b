import type { Readable } from "node:stream";

const MAX_LINE_LENGTH = 1_000;

/** Reads the log of a gateway. Returns a function that tells whether it has had a part of the shared retry budget. */
export const watchRetryTokens = (log: Readable | null): (() => boolean) => {
    let latestText = "";
    let hasTokens = false;
    log?.on("data", (chunk: Buffer) => {
        latestText = latestText.slice(-MAX_LINE_LENGTH) + chunk.toString();
        hasTokens ||= /"event":"retryShare","tokens":[1-9]/.test(latestText);
    });
    return () => hasTokens;
};
