import { expect } from "chai";
import type { Resource } from "medlarlb-types/resource";
import { createWatchCache } from "../operator/createWatchCache.js";

const model = (name: string, ready: boolean): Resource => ({ kind: "models", name, resourceVersion: "1", spec: {}, status: { ready } });

describe("createWatchCache", () => {
    let shown: Resource[] = [];
    let feed: ReturnType<typeof createWatchCache>;
    beforeEach(() => {
        shown = [model("m", false)];
        feed = createWatchCache(() => shown, () => 0);
    });
    afterEach(() => feed.stop());

    it("gives each change of spec or status once, in order, from any place it still keeps", () => {
        const { sequence } = feed.list("models");
        shown = [model("m", true), model("n", false)];
        feed.list("models");
        shown = [model("n", false)];
        feed.list("models");
        const events = feed.after("models", sequence)?.map(event => `${event.type} ${event.object.name}`);
        expect(events).to.deep.equal(["MODIFIED m", "ADDED n", "DELETED m"]);
    });

    it("says so when the changes since a place are gone", () => {
        const { sequence } = feed.list("models");
        for (let count = 0; count < 2_100; count += 1) {
            shown = [model("m", count % 2 === 0)];
            feed.list("models");
        }
        expect(feed.after("models", sequence)).to.equal(undefined);
        expect(feed.after("models", sequence + 2_099)).to.have.lengthOf(1);
    });
});
