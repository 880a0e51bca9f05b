import { expect } from "chai";
import { createStoreOutages } from "../directory/createStoreOutages.js";

describe("the record of the store's outages", () => {
    const createWithContacts = (...contactsAtMs: number[]) => {
        const outages = createStoreOutages();
        contactsAtMs.forEach(outages.recordContact);
        return outages;
    };

    it("takes an outage of which another instance tells if the store has answered nobody meanwhile", () => {
        const outages = createWithContacts(1_000, 1_500, 5_100);
        outages.recordTold(1_400, 5_000);
        expect(outages.latest()).to.deep.equal({ beganAtMs: 1_400, endedAtMs: 5_000 });
    });

    it("takes no outage during which the store has answered, told again and again", () => {
        const outages = createWithContacts(1_000, 1_500, 2_100, 5_100);
        outages.recordTold(1_400, 5_000);
        outages.recordContact(9_000);
        outages.recordTold(1_400, 5_000);
        expect(outages.latest()).to.equal(undefined);
    });

    it("takes an outage of which an instance of an earlier version tells", () => {
        const outages = createWithContacts(1_000, 4_900);
        outages.recordTold(undefined, 5_000);
        expect(outages.endedAtMs()).to.equal(5_000);
    });

    it("keeps the latest of several outages", () => {
        const outages = createWithContacts(1_000);
        outages.recordEnd(3_000);
        outages.recordTold(undefined, 2_000);
        expect(outages.latest()).to.deep.equal({ beganAtMs: 1_000, endedAtMs: 3_000 });
    });
});
