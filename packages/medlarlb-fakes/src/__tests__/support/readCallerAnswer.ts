const HEAD_END = "\r\n\r\n";
const LAST_CHUNK = "0\r\n\r\n";
const LENGTH_FIELD = /^content-length: *(\d+)$/im;
const CHUNKED_FIELD = /^transfer-encoding: *chunked$/im;
/** What frames a body that is one chunk. */
const CHUNK_FRAME = /^[0-9a-f]+\r\n|\r\n0\r\n\r\n$|^0\r\n\r\n$/g;

interface CallerAnswer {
    /** Status of the answer; 0 if its head isn't whole. */
    status: number;
    body: string;
    isWhole: boolean;
}

/** Reads an answer as HTTP defines its end. `isReset` tells that the connection ended with an error. */
export const readCallerAnswer = (text: string, isReset: boolean): CallerAnswer => {
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd < 0) {
        return { status: 0, body: "", isWhole: false };
    }
    const head = text.slice(0, headEnd);
    const body = text.slice(headEnd + HEAD_END.length);
    const status = Number(head.split(" ")[1]);
    const length = LENGTH_FIELD.exec(head)?.[1];
    if (length !== undefined) {
        return { status, body, isWhole: body.length === Number(length) };
    }
    return CHUNKED_FIELD.test(head)
        ? { status, body: body.replace(CHUNK_FRAME, ""), isWhole: body.endsWith(LAST_CHUNK) }
        : { status, body, isWhole: !isReset };
};
