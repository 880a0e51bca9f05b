import { expect } from "chai";
import fc from "fast-check";
import { createConfigStore } from "../config/createConfigStore.js";

const createEntry = (key: string, revision: number, value: string | undefined = `v${revision}`) =>
    (value === undefined ? { key, revision } : { key, revision, value });

describe("createConfigStore", () => {
    it("applies a change only if its revision is higher than the current one", () => {
        const store = createConfigStore(() => undefined);
        expect(store.apply({ revision: 5, base: 0, entries: [createEntry("a", 5)] })).to.equal(true);
        expect(store.apply({ revision: 4, base: 0, entries: [createEntry("a", 4)] })).to.equal(false);
        expect(store.apply({ revision: 5, base: 0, entries: [] })).to.equal(false);
        expect(store.entries().get("a")?.value).to.equal("v5");
    });

    it("rejects a change whose base is a revision that the store doesn't have yet", () => {
        const store = createConfigStore(() => undefined);
        store.apply({ revision: 5, base: 0, entries: [] });
        expect(store.apply({ revision: 9, base: 7, entries: [createEntry("a", 9)] })).to.equal(false);
    });

    it("returns the changes that bring another store to the same state, whatever revision that store has", () => {
        const change = fc.record({ key: fc.constantFrom("a", "b", "c"), deletes: fc.boolean() });
        fc.assert(fc.property(fc.array(change, { minLength: 1, maxLength: 30 }), fc.nat(30), (changes, joinIndex) => {
            const leader = createConfigStore(() => undefined);
            const follower = createConfigStore(() => undefined);
            leader.apply({ revision: 1, base: 0, entries: [createEntry("z", 1)] });
            changes.forEach(({ key, deletes }, index) => {
                if (index === joinIndex) {
                    follower.apply(leader.since(0));
                }
                const revision = index + 2;
                const changed = deletes ? { key, revision } : createEntry(key, revision);
                leader.apply({ revision, base: revision - 1, entries: [changed] });
            });
            follower.apply(leader.since(follower.revision()));
            expect([...follower.entries()].sort()).to.deep.equal([...leader.entries()].sort());
            expect(follower.revision()).to.equal(leader.revision());
        }), { seed: 20261203, numRuns: 1_000 });
    });
});
