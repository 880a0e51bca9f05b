import type { IncomingHttpHeaders } from "node:http";
import type { AnswerDescription } from "medlarlb-types/answerDescription";
import type { CallDescription } from "medlarlb-types/callDescription";
import type { Route } from "medlarlb-types/route";
import type { TargetHeaderOptions } from "medlarlb-types/targetHeaderOptions";

/** Translation between callers' and targets' headers and the project's types. The adapter of a platform provides it. */
export interface GatewayAdapter {
    readCall: (headers: IncomingHttpHeaders) => CallDescription;
    /** How long a caller waits for the first event of a stream, in ms; undefined if as long as for the answer. */
    callerPatienceMs: (route: Route) => number | undefined;
    /** Headers for a target, as names and values by turns. */
    createTargetHeaders: (rawHeaders: readonly string[], options: TargetHeaderOptions) => string[];
    readAnswer: (status: number, headers: Record<string, string | string[] | undefined>) => AnswerDescription;
}
