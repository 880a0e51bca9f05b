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
