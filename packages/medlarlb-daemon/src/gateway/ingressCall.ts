import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallMetadata } from "medlarlb-types/callMetadata";

/** A caller's request with its connection, body and metadata. */
export interface IngressCall {
    metadata: CallMetadata;
    req: IncomingMessage;
    res: ServerResponse;
    body: Buffer | undefined;
    /** Id of the event after which the caller resumes a stream. */
    lastEventId: string | undefined;
    /** Whether the configuration had workspaces when the call was accepted, so that the target must not get the caller's key. */
    hasWorkspaces: boolean;
    /** Error response of a target, which the caller gets if no other target succeeds. */
    failedAnswer: { status: number; headers: string[]; body: Buffer } | undefined;
}
