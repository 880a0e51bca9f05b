import type { IncomingHttpHeaders } from "node:http";
import type { PromptPart } from "medlarlb-types/promptPart";
import type { Route } from "medlarlb-types/route";
import type { TargetId } from "medlarlb-types/targetId";

/** Translation between callers' and targets' headers and the project's types. The adapter of a platform provides it. */
export interface GatewayAdapter {
    readCall: (headers: IncomingHttpHeaders) => {
        callerRequestId: string;
        deadlineMs: number | undefined;
        model: string | undefined;
        adapter: string | undefined;
        promptTokens: number;
        outputTokens: number;
        expectedTokens: number;
        promptParts: PromptPart[];
        lastEventId: string | undefined;
    };
    /** How long a caller waits for the first event of a stream, in ms; undefined if as long as for the answer. */
    callerPatienceMs: (route: Route) => number | undefined;
    createTargetHeaders: (rawHeaders: readonly string[], options: {
        targetId: TargetId;
        deadlineMs: number;
        priority: number | undefined;
        lastEventId: string | undefined;
        copyTo: string | undefined;
        continueFrom: string | undefined;
    }) => string[];
    readAnswer: (status: number, headers: Record<string, string | string[] | undefined>) => {
        callerRequestId: string | undefined;
        stamped: boolean;
        notRun: boolean;
        closing: boolean;
        encoded: boolean;
        contentLength: number | undefined;
        load: { running: number; waiting: number; slots: number } | undefined;
        targetId: string | undefined;
        forwarded: [string, string][];
    };
}
