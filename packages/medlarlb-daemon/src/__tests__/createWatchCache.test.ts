import { expect } from "chai";
import type { Resource } from "medlarlb-types/resource";
import { createWatchCache } from "../operator/createWatchCache.js";

const createModel = (name: string, ready: boolean): Resource =>
    ({ kind: "models", name, resourceVersion: "1", spec: {}, status: { ready } });

describe("createWatchCache", () => {
    let resources: Resource[] = [];
    let cache: ReturnType<typeof createWatchCache>;
    beforeEach(() => {
        resources = [createModel("m", false)];
        cache = createWatchCache(() => resources, () => 0);
    });
    afterEach(() => cache.stop());

    it("returns each change of spec or status once and in order", () => {
        const { sequence } = cache.list("models");
        resources = [createModel("m", true), createModel("n", false)];
        cache.list("models");
        resources = [createModel("n", false)];
        cache.list("models");
        const events = cache.after("models", sequence)?.map(event => `${event.type} ${event.object.name}`);
        expect(events).to.deep.equal(["MODIFIED m", "ADDED n", "DELETED m"]);
    });

    it("returns undefined if events after the sequence number have been dropped", () => {
        const { sequence } = cache.list("models");
        for (let count = 0; count < 2_100; count += 1) {
            resources = [createModel("m", count % 2 === 0)];
            cache.list("models");
        }
        expect(cache.after("models", sequence)).to.equal(undefined);
        expect(cache.after("models", sequence + 2_099)).to.have.lengthOf(1);
    });
});
