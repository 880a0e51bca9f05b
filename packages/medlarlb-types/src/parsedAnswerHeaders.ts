/** Content of the headers of a target's response, and the headers that are forwarded to the caller. */
export interface ParsedAnswerHeaders {
    callerRequestId: string | undefined;
    /** Whether the response carries the stamp of a target. */
    stamped: boolean;
    /** Whether the target states that it has not run the request. */
    notRun: boolean;
    /** Whether the target is about to close this connection. */
    closing: boolean;
    encoded: boolean;
    contentLength: number | undefined;
    /** `workTimeRatio` is the present duration of work on the machine as a multiple of the usual one, if the target tells it. */
    load: { running: number; waiting: number; slots: number; workTimeRatio?: number } | undefined;
    /** Requests per second that the target takes from all instances together; undefined if it names no limit. */
    requestLimit: number | undefined;
    /** Whether the target says that it leaves. */
    leaving: boolean;
    /** Time in ms for which the target wants no requests from this instance; undefined if it asks for no pause. */
    pauseMs: number | undefined;
    targetId: string | undefined;
    forwarded: [string, string][];
}
