import { parseHeaderLine } from "./parseHeaderLine.js";

interface ResponseHandlers {
    onHead: (status: number, headers: Record<string, string>) => void;
    /** The bytes are valid only during the call. */
    onBody: (bytes: Buffer) => void;
    /** The response is complete. `surplus` counts the bytes that followed it. */
    onComplete: (surplus: number) => void;
}

/** Where the parser is inside a response. */
type State = "head" | "length" | "chunkSize" | "chunk" | "chunkEnd" | "trailer" | "untilClose" | "complete";

/** Longest header section in bytes, together with those of the interim responses before it, and largest number of these. */
const MAX_HEAD_BYTES = 65_536;
const MAX_INTERIM_RESPONSE_COUNT = 100;
/** Longest line inside a chunked body, in bytes. */
const MAX_LINE_BYTES = 4_096;
/** Number of bytes by which the chunk extensions of a response, and the lines after its last chunk, may exceed its body. */
const MAX_CHUNK_METADATA_EXCESS_BYTES = 16_384;
const STATUS_LINE = /^HTTP\/1\.[01] ([1-9]\d{2})(?: [^\r\n]*)?$/;
const STATUS_LINE_START = /^HTTP\/1\.[01] [1-9]\d{2}[ \r]/;
const SAMPLE_STATUS_LINE_START = "HTTP/1.1 200 ";
const TOO_LONG_HEAD = `the header section of the response is longer than ${MAX_HEAD_BYTES} bytes`;
const TOO_LONG_LINE = `a line of the response is longer than ${MAX_LINE_BYTES} bytes`;
const NO_STATUS_LINE = "the first line isn't the status line of an HTTP/1.1 response";
const CHUNK_SIZE_LINE = /^([0-9a-fA-F]{1,8})([ \t]*(?:;[^\r\n]*)?)$/;
const DECIMAL = /^\d{1,15}$/;
const HEX_RADIX = 16;
const LINE_END = Buffer.from("\r\n");
const HEAD_END = Buffer.from("\r\n\r\n");
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const MIN_FINAL_STATUS = 200;

const parseHeaders = (lines: readonly string[]): Record<string, string> => {
    const headers: Record<string, string> = {};
    for (const line of lines) {
        const parsed = parseHeaderLine(line);
        if (parsed === undefined) {
            throw new Error("a header line of the response is malformed");
        }
        const name = parsed.name.toLowerCase();
        const { value } = parsed;
        if (name === "content-length" && headers[name] !== undefined && headers[name] !== value) {
            throw new Error("the response states two lengths");
        }
        headers[name] = headers[name] === undefined || name === "content-length" ? value : `${headers[name]}, ${value}`;
    }
    return headers;
};

/** Returns whether bytes may be the beginning of a status line. */
const mayBeginStatusLine = (bytes: Buffer): boolean => {
    const start = bytes.toString("latin1", 0, SAMPLE_STATUS_LINE_START.length);
    return STATUS_LINE_START.test(start + SAMPLE_STATUS_LINE_START.slice(start.length));
};

/**
 * Creates the parser of one HTTP/1.1 response. `push` takes bytes as they arrive and throws if they aren't a response. `end`
 * returns whether a response is complete when its connection ends. Interim responses (1xx) are skipped.
 */
export const createResponseParser = (handlers: ResponseHandlers, hasBody: boolean) => {
    let state: State = "head";
    /** Bytes of an incomplete header section or line, which are waiting for the rest. */
    let pending: Buffer | undefined;
    /** Bytes that the header section may still have, after interim responses. */
    let remainingHeadBytes = MAX_HEAD_BYTES;
    let interimResponseCount = 0;
    /** Bytes that chunk extensions and trailers may still have. Each byte of the body allows another one. */
    let remainingChunkMetadataBytes = MAX_CHUNK_METADATA_EXCESS_BYTES;
    /** Bytes that are left of the body or of the present chunk. */
    let remaining = 0;

    const startBody = (status: number, headers: Record<string, string>): void => {
        const coding = headers["transfer-encoding"];
        const length = headers["content-length"];
        if (coding !== undefined && coding.toLowerCase() !== "chunked") {
            throw new Error(`the transfer coding ${coding} isn't supported`);
        }
        if (coding !== undefined && length !== undefined) {
            throw new Error("the response states a length beside a transfer coding");
        }
        if (length !== undefined && !DECIMAL.test(length)) {
            throw new Error("the length of the response is malformed");
        }
        remaining = Number(length ?? 0);
        if (!hasBody || BODILESS_STATUSES.has(status)) {
            state = "complete";
        }
        else if (coding !== undefined) {
            state = "chunkSize";
        }
        else if (length !== undefined) {
            state = remaining === 0 ? "complete" : "length";
        }
        else {
            state = "untilClose";
        }
    };

    /** Joins bytes that were kept with new ones, and keeps them again if `end` doesn't occur in them. */
    const takeUntil = (bytes: Buffer, end: Buffer, maxBytes: number, tooLong: string): { text: string; rest: Buffer } | undefined => {
        const joined = pending === undefined ? bytes : Buffer.concat([pending, bytes]);
        const position = joined.indexOf(end);
        if (position > maxBytes || (position < 0 && joined.length > maxBytes)) {
            throw new Error(tooLong);
        }
        if (position < 0) {
            pending = Buffer.from(joined);
            return undefined;
        }
        pending = undefined;
        return { text: joined.toString("latin1", 0, position), rest: joined.subarray(position + end.length) };
    };

    const countInterimResponse = (headBytes: number): void => {
        remainingHeadBytes -= headBytes;
        interimResponseCount += 1;
        if (interimResponseCount > MAX_INTERIM_RESPONSE_COUNT) {
            throw new Error(`more than ${MAX_INTERIM_RESPONSE_COUNT} interim responses came before the response`);
        }
    };

    const readHead = (bytes: Buffer): Buffer => {
        const taken = takeUntil(bytes, HEAD_END, remainingHeadBytes, TOO_LONG_HEAD);
        if (pending !== undefined && !mayBeginStatusLine(pending)) {
            throw new Error(NO_STATUS_LINE);
        }
        if (taken === undefined) {
            return bytes.subarray(bytes.length);
        }
        const [statusLine = "", ...lines] = taken.text.split("\r\n");
        const status = Number(STATUS_LINE.exec(statusLine)?.[1]);
        if (Number.isNaN(status)) {
            throw new Error(NO_STATUS_LINE);
        }
        if (status >= MIN_FINAL_STATUS) {
            const headers = parseHeaders(lines);
            startBody(status, headers);
            handlers.onHead(status, headers);
        }
        else {
            countInterimResponse(taken.text.length + HEAD_END.length);
        }
        return taken.rest;
    };

    const countChunkMetadata = (length: number): void => {
        remainingChunkMetadataBytes -= length;
        if (remainingChunkMetadataBytes < 0) {
            throw new Error(`the chunk extensions and trailers exceed the response's body by more than ${MAX_CHUNK_METADATA_EXCESS_BYTES} bytes`);
        }
    };

    const readChunkSize = (bytes: Buffer): Buffer => {
        const taken = takeUntil(bytes, LINE_END, MAX_LINE_BYTES, TOO_LONG_LINE);
        if (taken === undefined) {
            return bytes.subarray(bytes.length);
        }
        const [, size, extensions] = CHUNK_SIZE_LINE.exec(taken.text) ?? [];
        if (size === undefined || extensions === undefined) {
            throw new Error("a chunk size of the response is malformed");
        }
        countChunkMetadata(extensions.length);
        remaining = Number.parseInt(size, HEX_RADIX);
        state = remaining === 0 ? "trailer" : "chunk";
        return taken.rest;
    };

    /** Reads the line end after a chunk, or the lines after the last chunk, which end with an empty one. */
    const readLine = (bytes: Buffer): Buffer => {
        const taken = takeUntil(bytes, LINE_END, MAX_LINE_BYTES, TOO_LONG_LINE);
        if (taken === undefined) {
            return bytes.subarray(bytes.length);
        }
        if (state === "chunkEnd" && taken.text !== "") {
            throw new Error("a chunk of the response is longer than its stated size");
        }
        if (state === "chunkEnd") {
            state = "chunkSize";
        }
        else if (taken.text === "") {
            state = "complete";
        }
        else {
            countChunkMetadata(taken.text.length + LINE_END.length);
        }
        return taken.rest;
    };

    const readBody = (bytes: Buffer): Buffer => {
        const length = Math.min(remaining, bytes.length);
        remaining -= length;
        remainingChunkMetadataBytes += length;
        handlers.onBody(length === bytes.length ? bytes : bytes.subarray(0, length));
        if (remaining === 0) {
            state = state === "chunk" ? "chunkEnd" : "complete";
        }
        return bytes.subarray(length);
    };

    const readUntilClose = (bytes: Buffer): Buffer => {
        handlers.onBody(bytes);
        return bytes.subarray(bytes.length);
    };

    const readers: Record<Exclude<State, "complete">, (bytes: Buffer) => Buffer> = {
        head: readHead,
        length: readBody,
        chunkSize: readChunkSize,
        chunk: readBody,
        chunkEnd: readLine,
        trailer: readLine,
        untilClose: readUntilClose,
    };

    return {
        push: (bytes: Buffer): void => {
            let rest = bytes;
            while (rest.length > 0 && state !== "complete") {
                rest = readers[state](rest);
            }
            if (state === "complete") {
                handlers.onComplete(rest.length);
            }
        },
        /** Whether the response has no length and ends with its connection. */
        isCloseDelimited: (): boolean => state === "untilClose",
    };
};
