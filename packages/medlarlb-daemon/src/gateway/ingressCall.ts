import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallMetadata } from "medlarlb-types/callMetadata";

/** A caller's request as the edge holds it. */
export interface IngressCall {
    metadata: CallMetadata;
    req: IncomingMessage;
    res: ServerResponse;
    body: Buffer | undefined;
    /** Event after which the caller wants the stream to go on. */
    lastEventId: string | undefined;
    /** A failure that a target answered with, which the caller gets if no other target does better. */
    failedAnswer: { status: number; headers: string[]; body: Buffer } | undefined;
}
