import { expect } from "chai";
import fc from "fast-check";
import { createResponseParser } from "../createResponseParser.js";

interface Parsed {
    status: number;
    headers: Record<string, string>;
    body: string;
    complete: boolean;
    surplus: number;
}

/** Parses a response that arrives in parts of the given sizes, which repeat. */
const parse = (text: string, sizes: readonly number[] = [text.length], hasBody = true): Parsed & { isCloseDelimited: boolean } => {
    const parsed: Parsed = { status: 0, headers: {}, body: "", complete: false, surplus: 0 };
    const parser = createResponseParser({
        onHead: (status, headers) => Object.assign(parsed, { status, headers }),
        onBody: bytes => {
            parsed.body += bytes.toString("latin1");
        },
        onComplete: surplus => {
            parsed.complete = true;
            parsed.surplus += surplus;
        },
    }, hasBody);
    const bytes = Buffer.from(text, "latin1");
    for (let start = 0, index = 0; start < bytes.length; index += 1) {
        const size = Math.max(1, sizes[index % sizes.length] ?? 1);
        const part = Buffer.from(bytes.subarray(start, start + size));
        parser.push(part);
        // The memory of a part is used again for the next one.
        part.fill(0x3f);
        start += size;
    }
    return { ...parsed, isCloseDelimited: parser.isCloseDelimited() };
};

const encodeChunked = (parts: readonly string[]): string =>
    `${parts.filter(part => part !== "").map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join("")}0\r\n\r\n`;

const text = fc.string({ unit: "binary-ascii", maxLength: 200 });
const sizes = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 6 });

describe("createResponseParser", () => {
    it("returns the body of a response with a length, however it is split", () => {
        fc.assert(fc.property(text, sizes, (body, partSizes) => {
            const parsed = parse(`HTTP/1.1 200 OK\r\nX-Stamp:  a b \r\nContent-Length: ${body.length}\r\n\r\n${body}`, partSizes);
            expect(parsed).to.deep.include({ status: 200, body, complete: true, surplus: 0 });
            expect(parsed.headers).to.deep.equal({ "x-stamp": "a b", "content-length": String(body.length) });
        }), { seed: 20261204 });
    });

    it("returns the body of a chunked response, however it is split, and is complete only with the last chunk", () => {
        fc.assert(fc.property(fc.array(text, { maxLength: 5 }), sizes, (parts, partSizes) => {
            const whole = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${encodeChunked(parts)}`;
            expect(parse(whole, partSizes)).to.deep.include({ body: parts.join(""), complete: true, surplus: 0 });
            const cut = parse(whole.slice(0, -1), partSizes);
            expect(cut).to.deep.include({ complete: false, isCloseDelimited: false });
        }), { seed: 20261204 });
    });

    it("reads a body without a length until the connection ends", () => {
        expect(parse("HTTP/1.1 200 OK\r\n\r\nany\r\n\r\nthing", [3])).to.deep.include({ body: "any\r\n\r\nthing", complete: false, isCloseDelimited: true });
    });

    it("skips interim responses, chunk extensions and trailers", () => {
        const chunked = "2;name=value\r\nok\r\n0\r\nX-Late: 1\r\n\r\n";
        const parsed = parse(`HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunked}`, [1]);
        expect(parsed).to.deep.include({ status: 200, body: "ok", complete: true });
    });

    it("expects no body after a HEAD request, 204 and 304", () => {
        expect(parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", [9], false)).to.deep.include({ complete: true, body: "" });
        expect(parse("HTTP/1.1 204 No Content\r\n\r\n")).to.deep.include({ complete: true });
        expect(parse("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n")).to.deep.include({ complete: true });
    });

    it("counts the bytes that follow a response, in the same part and in later ones", () => {
        const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        expect(parse(`${response}more`)).to.deep.include({ body: "ok", surplus: 4 });
        expect(parse(`${response}more`, [response.length, 2])).to.deep.include({ body: "ok", surplus: 4 });
    });

    const faults: Record<string, string> = {
        "a first line that isn't a status line": "nonsense\r\n\r\n",
        "another protocol version": "HTTP/2 200 OK\r\n\r\n",
        "a header name with a space": "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
        "a folded header line": "HTTP/1.1 200 OK\r\nX-A: 1\r\n folded\r\n\r\n",
        "a line end without a carriage return": "HTTP/1.1 200 OK\r\nX-A: 1\nContent-Length: 2\r\n\r\nok",
        "a control character in a header": "HTTP/1.1 200 OK\r\nX-A: a\u0007b\r\nContent-Length: 2\r\n\r\nok",
        "the control character 127 in a header": "HTTP/1.1 200 OK\r\nX-A: a\u007f\r\nContent-Length: 2\r\n\r\nok",
        "a zero byte in a header": "HTTP/1.1 200 OK\r\nX-A: a\0b\r\nContent-Length: 2\r\n\r\nok",
        "two lengths": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
        "a length that isn't a number": "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
        "a length beside a transfer coding": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "a transfer coding other than chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "a chunk size that isn't hexadecimal": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
        "a chunk that is longer than its size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
        "a header section without an end": `HTTP/1.1 200 OK\r\nX-A: ${"a".repeat(70_000)}`,
    };
    for (const [name, response] of Object.entries(faults)) {
        it(`rejects ${name}`, () => {
            expect(() => parse(response)).to.throw();
            expect(() => parse(response, [1])).to.throw();
        });
    }
});
