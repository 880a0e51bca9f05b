import { expect } from "chai";
import type { Resource } from "medlarlb-types/resource";
import { createWatchCache } from "../operator/createWatchCache.js";

const model = (name: string, ready: boolean): Resource => ({ kind: "models", name, resourceVersion: "1", spec: {}, status: { ready } });

describe("createWatchCache", () => {
    let shown: Resource[] = [];
    let cache: ReturnType<typeof createWatchCache>;
    beforeEach(() => {
        shown = [model("m", false)];
        cache = createWatchCache(() => shown, () => 0);
    });
    afterEach(() => cache.stop());

    it("returns each change of spec or status once, in order, after any sequence number it still keeps", () => {
        const { sequence } = cache.list("models");
        shown = [model("m", true), model("n", false)];
        cache.list("models");
        shown = [model("n", false)];
        cache.list("models");
        const events = cache.after("models", sequence)?.map(event => `${event.type} ${event.object.name}`);
        expect(events).to.deep.equal(["MODIFIED m", "ADDED n", "DELETED m"]);
    });

    it("returns undefined when the changes since a sequence number have been dropped", () => {
        const { sequence } = cache.list("models");
        for (let count = 0; count < 2_100; count += 1) {
            shown = [model("m", count % 2 === 0)];
            cache.list("models");
        }
        expect(cache.after("models", sequence)).to.equal(undefined);
        expect(cache.after("models", sequence + 2_099)).to.have.lengthOf(1);
    });
});
