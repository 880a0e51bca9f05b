import type { IncomingHttpHeaders } from "node:http";
import type { ParsedAnswerHeaders } from "medlarlb-types/parsedAnswerHeaders";
import type { ParsedCallHeaders } from "medlarlb-types/parsedCallHeaders";
import type { Route } from "medlarlb-types/route";
import type { TargetHeaderOptions } from "medlarlb-types/targetHeaderOptions";

/** Translation between callers' and targets' headers and the project's types. The adapter of a platform provides it. */
export interface GatewayAdapter {
    readCall: (headers: IncomingHttpHeaders) => ParsedCallHeaders;
    /** How long a caller waits for the first event of a stream, in ms; undefined if as long as for the answer. */
    callerFirstEventTimeoutMs: (route: Route) => number | undefined;
    /** Headers for a target, as names and values by turns. */
    createTargetHeaders: (rawHeaders: readonly string[], options: TargetHeaderOptions) => string[];
    readAnswer: (status: number, headers: Record<string, string | string[] | undefined>) => ParsedAnswerHeaders;
}
