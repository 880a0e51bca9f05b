import { expect } from "chai";
import fc from "fast-check";
import { parseHeaderLine } from "../parseHeaderLine.js";

/** Longest header section that a response may have. */
const LONGEST_LINE = 65_536;
/** Time in ms for the longest line: a tenth of the shortest time-out of a route. */
const MAX_MS = 100;

describe("parseHeaderLine", () => {
    it("returns the name, and the value without the spaces and tabs around it", () => {
        expect(parseHeaderLine("X-Stamp: \t a b\t ")).to.deep.equal({ name: "X-Stamp", value: "a b" });
        expect(parseHeaderLine("x:")).to.deep.equal({ name: "x", value: "" });
        expect(parseHeaderLine("x: \u00a0a\u00ff\u00a0")).to.deep.equal({ name: "x", value: "\u00a0a\u00ff\u00a0" });
        expect(parseHeaderLine("x: a:b")).to.deep.equal({ name: "x", value: "a:b" });
    });

    it("rejects lines without a name, with a name that is no token, and with control characters", () => {
        for (const line of ["", "x", ": a", "x y: a", " x: a", "x : a", "x: a\u0007", "x: \u007f", "x: a\0b", "x: a\rb", "x: a\nb"]) {
            expect(parseHeaderLine(line), JSON.stringify(line)).to.equal(undefined);
        }
    });

    it("accepts what the grammar of header lines accepts, and nothing else", () => {
        const grammar = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*((?:[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)?)[ \t]*$/;
        const line = fc.string({ unit: fc.constantFrom("a", "Z", "-", ":", " ", "\t", "\r", "\n", "\0", "\u0007", "\u007f", "\u0080", "\u00a0", "\u00ff"), maxLength: 12 });
        fc.assert(fc.property(line, text => {
            const [, name, value] = grammar.exec(text) ?? [];
            expect(parseHeaderLine(text)).to.deep.equal(name === undefined || value === undefined ? undefined : { name, value });
        }), { seed: 20261205, numRuns: 5_000 });
    });

    // CONFIG: the process answered nothing while it tried all ways in which a run of spaces can be split.
    for (const [name, rest] of Object.entries({ "a forbidden byte": "\0", "more of the value": "a", "nothing": "" })) {
        it(`takes a short time for a long run of spaces before ${name}`, () => {
            for (const start of ["x:", "x:a"]) {
                const line = `${start}${" ".repeat(LONGEST_LINE)}${rest}`;
                const startedAtMs = performance.now();
                parseHeaderLine(line);
                expect(performance.now() - startedAtMs, start).to.be.below(MAX_MS);
            }
        });
    }
});
