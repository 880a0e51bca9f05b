import { expect } from "chai";
import { createResponseParser } from "../createResponseParser.js";

/** Part of a response that never ends, and the number of bytes of it that the parser may read before it rejects the response. */
interface EndlessResponse {
    /** Bytes before the part that repeats. */
    start?: string;
    part: string;
    maxBytes: number;
}

const KIB = 1_024;
const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/** Size of the reads. The bound of a section may be exceeded by one of them. */
const READ_BYTES = 4 * KIB;
const GIVEN_UP_AFTER_BYTES = 2_048 * KIB;

/** Returns the number of bytes that the parser takes before it throws; undefined if it doesn't throw. */
const countReadBytes = ({ start = "", part }: EndlessResponse): number | undefined => {
    const parser = createResponseParser({ onHead: () => undefined, onBody: () => undefined, onComplete: () => undefined }, true);
    const read = Buffer.from(part.repeat(Math.ceil(READ_BYTES / part.length)), "latin1");
    let readBytes = start.length;
    try {
        parser.push(Buffer.from(start, "latin1"));
        while (readBytes < GIVEN_UP_AFTER_BYTES) {
            readBytes += read.length;
            parser.push(read);
        }
    }
    catch {
        return readBytes;
    }
    return undefined;
};

const responses: Record<string, EndlessResponse> = {
    "a header line": { start: "HTTP/1.1 200 OK\r\nX-A: ", part: "a", maxBytes: 64 * KIB },
    "header lines": { start: "HTTP/1.1 200 OK\r\n", part: "X-A: 1\r\n", maxBytes: 64 * KIB },
    "white space before the status line": { part: " ", maxBytes: KIB },
    "empty lines before the status line": { part: "\r\n", maxBytes: KIB },
    "line feeds before the status line": { part: "\n", maxBytes: KIB },
    "bytes other than a status line": { part: "?", maxBytes: KIB },
    "a status line": { start: "HTTP/1.1 200 ", part: "a", maxBytes: 64 * KIB },
    "interim responses": { part: "HTTP/1.1 100 Continue\r\n\r\n", maxBytes: 4 * KIB },
    "interim responses with headers": { part: `HTTP/1.1 103 Early Hints\r\nX-A: ${"a".repeat(KIB)}\r\n\r\n`, maxBytes: 64 * KIB },
    "the line of a chunk size": { start: CHUNKED_HEAD, part: "0", maxBytes: 4 * KIB },
    "lines after the last chunk": { start: `${CHUNKED_HEAD}0\r\n`, part: "X-A: 1\r\n", maxBytes: 16 * KIB },
    "long lines after the last chunk": { start: `${CHUNKED_HEAD}0\r\n`, part: `X-A: ${"a".repeat(2 * KIB)}\r\n`, maxBytes: 16 * KIB },
    "chunks with extensions": { start: CHUNKED_HEAD, part: `1;a=${"a".repeat(100)}\r\nb\r\n`, maxBytes: 18 * KIB },
    "chunks with white space": { start: CHUNKED_HEAD, part: `1${" ".repeat(KIB)}\r\nb\r\n`, maxBytes: 18 * KIB },
    "the line of a chunk extension": { start: `${CHUNKED_HEAD}1;a=`, part: "a", maxBytes: 4 * KIB },
};

describe("createResponseParser, with a response that never ends,", () => {
    for (const [name, response] of Object.entries(responses)) {
        it(`rejects ${name} without end after ${response.maxBytes} bytes`, () => {
            const readBytes = countReadBytes(response);
            expect(readBytes).to.be.a("number").and.at.most(response.maxBytes + 2 * READ_BYTES);
        });
    }

    it("accepts a final response after some interim ones", () => {
        const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(8);
        expect(countReadBytes({ start: `${interim}${CHUNKED_HEAD}`, part: "4\r\nbody\r\n", maxBytes: 0 })).to.equal(undefined);
    });

    it("accepts chunks of one byte, and chunks with extensions that are shorter than they", () => {
        expect(countReadBytes({ start: CHUNKED_HEAD, part: "1\r\nb\r\n", maxBytes: 0 })).to.equal(undefined);
        expect(countReadBytes({ start: CHUNKED_HEAD, part: "8;a=1234\r\n12345678\r\n", maxBytes: 0 })).to.equal(undefined);
    });

    it("rejects bytes that can't begin a status line as soon as they arrive", () => {
        for (const bytes of ["?", "\r\n", " HTTP/1.1", "HTTP/2", "HTTP/1.1 2x", "HTTP/1.1 99 ", "HTTP/1.1 099 ", "HTTP/1.1 200OK"]) {
            expect(countReadBytes({ start: bytes, part: " ", maxBytes: 0 }), bytes).to.equal(bytes.length);
        }
    });
});
