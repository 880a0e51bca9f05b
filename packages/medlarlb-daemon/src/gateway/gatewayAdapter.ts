import type { IncomingHttpHeaders } from "node:http";
import type { KeyDigest } from "medlarlb-types/keyDigest";
import type { ParsedAnswerHeaders } from "medlarlb-types/parsedAnswerHeaders";
import type { ParsedCallHeaders } from "medlarlb-types/parsedCallHeaders";
import type { Route } from "medlarlb-types/route";
import type { TargetHeaderOptions } from "medlarlb-types/targetHeaderOptions";

/** Translates the headers of callers and targets to the project's types and back. The platform's adapter implements it. */
export interface GatewayAdapter {
    readCall: (headers: IncomingHttpHeaders) => ParsedCallHeaders;
    /** Returns the raw values of all headers that hold an API key. */
    readKeys: (rawHeaders: readonly string[]) => string[];
    digestKey: (headerValue: string) => KeyDigest;
    /** Returns the time in ms that a caller waits for the first event; undefined if it waits as long as for the whole answer. */
    callerFirstEventTimeoutMs: (route: Route) => number | undefined;
    /** Returns the headers for a target as a flat list of alternating names and values. */
    createTargetHeaders: (rawHeaders: readonly string[], options: TargetHeaderOptions) => string[];
    readAnswer: (status: number, headers: Record<string, string | string[] | undefined>) => ParsedAnswerHeaders;
}
