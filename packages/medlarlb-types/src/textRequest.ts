import type { Result } from "true-myth";

/**
 * Sends a request to an address and returns the whole response, or the reason why there is none. `tooLong` states that the
 * response exceeded its bound.
 */
export type TextRequest = (address: string, message: {
    method: "GET" | "POST" | "DELETE";
    path: string;
    /** Names and values in turn. */
    headers: string[];
    body: string | undefined;
    timeoutMs: number;
    /** Longest body of the response that is read. */
    maxResponseBytes: number;
}) => Promise<Result<
    { status: number; headers: Record<string, string | string[] | undefined>; text: string },
    { reason: string; tooLong: boolean }
>>;
