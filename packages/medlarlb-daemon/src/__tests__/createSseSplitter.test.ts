import { expect } from "chai";
import { createSseSplitter } from "../gateway/createSseSplitter.js";

describe("createSseSplitter", () => {
    it("returns whole events with their ids, however the stream is split into chunks", () => {
        const text = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\nda";
        for (let size = 1; size < text.length; size += 1) {
            const splitter = createSseSplitter();
            const events = [];
            for (let start = 0; start < text.length; start += size) {
                const part = Buffer.from(text.slice(start, start + size));
                const block = splitter.push(part) ?? Buffer.alloc(0);
                const inBlock = splitter.list(Buffer.from(block));
                expect(splitter.lastId(Buffer.from(block))).to.equal(inBlock.at(-1)?.id);
                events.push(...inBlock);
                // The memory of a part is used again for the next one.
                part.fill("?");
            }
            expect(events.map(event => event.id)).to.deep.equal(["1", "2"]);
            expect(events.map(event => event.bytes.toString()).join("")).to.equal("id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
            expect(splitter.bufferedBytes()).to.equal("id: 3\nda".length);
        }
    });

    const lineEnds = { "line feeds": "\n", "carriage returns": "\r", "both": "\r\n" };
    for (const [first, firstEnd] of Object.entries(lineEnds)) {
        for (const [second, secondEnd] of Object.entries(lineEnds)) {
            // Events of other line ends were taken for one event, and callers got the last one twice after a break.
            it(`splits events with ${first} that are followed by events with ${second}, at each byte`, () => {
                const events = [firstEnd, secondEnd, firstEnd, secondEnd].map((end, index) => `data: ${index}${end}id: ${index}${end}${end}`);
                const text = events.join("");
                // An event ends at a carriage return, also if a line feed follows.
                const endsAt = events.map((event, index) => events.slice(0, index + 1).join("").length - (event.endsWith("\r\n") ? 1 : 0));
                for (let size = 1; size <= text.length; size += 1) {
                    const splitter = createSseSplitter();
                    const ids: (string | undefined)[] = [];
                    let passed = "";
                    for (let start = 0; start < text.length; start += size) {
                        const block = Buffer.from(splitter.push(Buffer.from(text.slice(start, start + size))) ?? "");
                        const inBlock = splitter.list(block);
                        expect(splitter.count(block)).to.equal(inBlock.length);
                        expect(splitter.lastId(block)).to.equal(inBlock.at(-1)?.id);
                        ids.push(...inBlock.map(event => event.id));
                        passed += block.toString();
                        expect(ids, `parts of ${size}`).to.have.length(endsAt.filter(end => end <= start + size).length);
                    }
                    expect(ids).to.deep.equal(["0", "1", "2", "3"]);
                    expect(passed).to.equal(text);
                    expect(splitter.bufferedBytes()).to.equal(0);
                }
            });
        }
    }

    // A whole stream broke off when its engine ended it with a further line feed.
    it("holds back no line ends between events", () => {
        const splitter = createSseSplitter();
        const passed = ["id: 1\n\n", "\n", "\r\n", "id: 2\n\n", "\n"].map(part => splitter.push(Buffer.from(part))?.toString());
        expect(passed).to.deep.equal(["id: 1\n\n", "\n", "\r\n", "id: 2\n\n", "\n"]);
        expect(splitter.bufferedBytes()).to.equal(0);
    });

    // The first of two ids was taken, and what follows a line separator of Unicode for a line.
    it("reads the last id of an event, from lines as events define them", () => {
        const readId = (text: string): string | undefined => createSseSplitter().list(Buffer.from(text))[0]?.id;
        expect(readId("id: 1\nid: 2\ndata: two\n\n")).to.equal("2");
        expect(readId("data: a\u2028id: 9\nid:1\n\n")).to.equal("1");
        expect(readId("data: a\u2028id: 9\n\n")).to.equal(undefined);
        expect(readId("identity: 3\ndata: id: 4\n\n")).to.equal(undefined);
    });

    // The id of the first event wasn't found, and no engine that sends a byte order mark could go on with a stream.
    it("drops a byte order mark at the beginning of a stream only", () => {
        const text = "\ufeffid: 1\n\n\ufeffid: 2\n\n";
        const bytes = Buffer.from(text);
        for (let size = 1; size <= bytes.length; size += 1) {
            const splitter = createSseSplitter();
            const blocks: Buffer[] = [];
            for (let start = 0; start < bytes.length; start += size) {
                blocks.push(Buffer.from(splitter.push(bytes.subarray(start, start + size)) ?? ""));
            }
            const whole = Buffer.concat(blocks);
            expect(whole.toString()).to.equal(text.slice(1));
            expect(splitter.list(whole).map(event => event.id)).to.deep.equal(["1", undefined]);
        }
        const splitter = createSseSplitter();
        const parts = [bytes.subarray(0, 2), Buffer.from("\n\n")].map(part => splitter.push(part));
        expect(parts).to.deep.equal([undefined, Buffer.concat([bytes.subarray(0, 2), Buffer.from("\n\n")])]);
    });

    // A stream went on before events that its caller had when a comment was the last part of what was read at once.
    it("finds the id of the last event that has one", () => {
        const splitter = createSseSplitter();
        const lastId = (text: string): string | undefined => splitter.lastId(Buffer.from(text));
        expect(lastId("id: 1\ndata: one\n\nid: 2\ndata: two\n\n: comment\n\ndata: three\n\n")).to.equal("2");
        expect(lastId("id: 1\ndata: one\n\n\n")).to.equal("1");
        expect(lastId(": comment\n\ndata: one\n\n")).to.equal(undefined);
        expect(lastId("\n\n")).to.equal(undefined);
        expect(lastId("")).to.equal(undefined);
    });
});
