import { expect } from "chai";
import { createGossipTable } from "../createGossipTable.js";

const createEntry = (key: string, version: number, calm = false) => ({ key, version, value: {}, calm });
const GROUP_SIZE = 65;

/** Counts the messages in which a table sends one entry. */
const countSends = (calm: boolean): number => {
    const table = createGossipTable(() => GROUP_SIZE);
    table.merge(createEntry("member/a", 1, calm));
    let sendCount = 0;
    while (table.pick("z", 24).length > 0) {
        sendCount += 1;
    }
    return sendCount;
};

describe("createGossipTable", () => {
    it("has the same digest as another table with the same entries in another order, and a new digest after a newer entry", () => {
        const one = createGossipTable(() => GROUP_SIZE);
        const other = createGossipTable(() => GROUP_SIZE);
        [createEntry("a", 1), createEntry("b", 2), createEntry("a", 3)].forEach(each => one.merge(each));
        [createEntry("b", 2), createEntry("a", 3)].forEach(each => other.merge(each));
        expect(one.digest()).to.equal(other.digest());
        other.merge(createEntry("b", 4));
        expect(one.digest()).not.to.equal(other.digest());
    });

    it("leaves out the entries for all zones when asked to", () => {
        const table = createGossipTable(() => GROUP_SIZE);
        table.merge(createEntry("common", 1));
        table.merge({ ...createEntry("near", 1), zone: "z" });
        expect(table.list("z", false).map(each => each.key)).to.deep.equal(["near"]);
        expect(table.list("y", true).map(each => each.key)).to.deep.equal(["common"]);
    });

    it("sends calm entries three times, and other entries more often in a large group", () => {
        expect(countSends(true)).to.equal(3);
        expect(countSends(false)).to.be.above(10);
    });
});
