import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import { listNeighbors } from "../listNeighbors.js";

const createMembers = (count: number) => Array.from({ length: count }, (_, index) => {
    const id = brandAs<InstanceId>(`10.${index % 5}.0.${index}:8144`);
    return { id, zone: `z${index % 5}`, address: id };
});

describe("listNeighbors", () => {
    it("returns all members of a small group", () => {
        const [self, ...others] = createMembers(8);
        expect(listNeighbors(self?.id as InstanceId, others, [])).to.deep.equal(others);
    });

    it("returns two members and the hubs of a large group, and the same ones again", () => {
        const members = createMembers(195);
        const [self, hub] = members;
        const others = members.slice(1);
        const neighbors = listNeighbors(self?.id as InstanceId, others, [hub?.id as InstanceId]);
        expect(neighbors).to.have.length.within(2, 3);
        expect(neighbors).to.include(hub);
        expect(listNeighbors(self?.id as InstanceId, [...others].reverse(), [hub?.id as InstanceId])).to.have.deep.members(neighbors);
    });

    it("links a large group so that each member reaches all others in few steps, and each is linked by another one", () => {
        const members = createMembers(195);
        const listLinks = (self: InstanceId): InstanceId[] =>
            listNeighbors(self, members.filter(each => each.id !== self), []).map(each => each.id);
        const links = new Map(members.map(({ id }) => [id, listLinks(id)]));
        for (const { id } of members.slice(0, 20)) {
            let reached = new Set([id]);
            let steps = 0;
            while (reached.size < members.length && steps < 100) {
                reached = new Set([...reached, ...[...reached].flatMap(each => links.get(each) ?? [])]);
                steps += 1;
            }
            // Gossip also travels against a link, with the answers to probes, so that half of this is the usual case.
            expect(steps).to.be.at.most(70);
        }
    });
});
