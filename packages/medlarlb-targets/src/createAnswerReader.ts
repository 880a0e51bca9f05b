import type { ConnectionHistory } from "./connectionHistory.js";
import { createResponseParser } from "./createResponseParser.js";
import { isOwnAnswer } from "./isOwnAnswer.js";
import type { TargetRequestMessage } from "./targetRequestMessage.js";

interface ReaderOptions {
    message: TargetRequestMessage;
    history: () => ConnectionHistory;
    /** Returns the id of the request that an answer names. */
    readAnswerId: (headers: Record<string, string>) => string | undefined;
    /** Called for each answer that belongs to another request. */
    onForeignAnswer: (status: number, answerId: string | undefined) => void;
    onHead: (status: number, headers: Record<string, string>) => void;
    /** The bytes are valid only during the call. */
    onBody: (bytes: Buffer) => void;
    /** The answer to the request is complete. `surplus` counts the bytes that followed it. */
    onComplete: (surplus: number) => void;
}

/** Number and total body length of the answers to other requests that are dropped before that to the request. */
const MAX_FOREIGN_ANSWERS = 16;
const MAX_FOREIGN_BYTES = 1_048_576;
const NO_BODY_METHOD = "HEAD";

/**
 * Creates the reader of what a target sends on a connection after a request. It passes on the answer to that request and drops
 * answers to other requests before it. `push` throws if the bytes aren't answers.
 */
export const createAnswerReader = (options: ReaderOptions) => {
    const { message: { method, requestId }, history, readAnswerId } = options;
    const hasBody = method !== NO_BODY_METHOD;
    let isForeign = false;
    let foreignAnswers = 0;
    let foreignBytes = 0;
    let hasUntraceableAnswer = !hasBody;
    let hasEnded = false;
    /** Bytes that follow a foreign answer. */
    let surplusBytes = 0;

    const startForeignAnswer = (status: number, answerId: string | undefined): void => {
        foreignAnswers += 1;
        options.onForeignAnswer(status, answerId);
        if (foreignAnswers > MAX_FOREIGN_ANSWERS) {
            throw new Error(`more than ${MAX_FOREIGN_ANSWERS} answers to other requests preceded that to the request`);
        }
        if (!hasBody) {
            throw new Error("the end of an answer to another request can't be told from the answer to a HEAD request");
        }
    };

    const dropBody = (byteLength: number): void => {
        foreignBytes += byteLength;
        if (foreignBytes > MAX_FOREIGN_BYTES) {
            throw new Error(`answers to other requests were longer than ${MAX_FOREIGN_BYTES} bytes`);
        }
    };

    const createParser = (): ReturnType<typeof createResponseParser> => createResponseParser({
        onHead: (status, headers) => {
            const answerId = readAnswerId(headers);
            isForeign = !isOwnAnswer(requestId, answerId, history().carriedRequests === 0 && foreignAnswers === 0);
            if (isForeign) {
                startForeignAnswer(status, answerId);
                return;
            }
            hasUntraceableAnswer ||= requestId !== undefined && answerId === undefined;
            options.onHead(status, headers);
        },
        onBody: bytes => (isForeign ? dropBody(bytes.length) : options.onBody(bytes)),
        onComplete: surplus => {
            if (isForeign) {
                surplusBytes = surplus;
                parser = createParser();
                return;
            }
            hasEnded = true;
            options.onComplete(surplus);
        },
    }, hasBody);
    let parser = createParser();

    return {
        push: (bytes: Buffer): void => {
            let unread = bytes;
            while (unread.length > 0 && !hasEnded) {
                surplusBytes = 0;
                parser.push(unread);
                unread = unread.subarray(unread.length - surplusBytes);
            }
        },
        /** Whether the answer to the request has no length and ends with its connection. */
        isCloseDelimited: (): boolean => !isForeign && parser.isCloseDelimited(),
        /** Whether the target may still send an answer that the next request on the connection couldn't tell from its own. */
        mayConfuseNextRequest: (): boolean => foreignAnswers > 0 || hasUntraceableAnswer,
    };
};
