import type { Result } from "true-myth";

/** Sends a request to an address and returns the whole response, or the reason why there is none. */
export type TextRequest = (address: string, message: {
    method: "GET" | "POST" | "DELETE";
    path: string;
    /** Names and values in turn. */
    headers: string[];
    body: string | undefined;
    timeoutMs: number;
}) => Promise<Result<{ status: number; headers: Record<string, string | string[] | undefined>; text: string }, string>>;
