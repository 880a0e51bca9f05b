import { expect } from "chai";
import fc from "fast-check";
import { shareOfRank } from "../fairness/shareOfRank.js";

const PLACES = { shared: 20, alone: 24, inFlight: 100 };

describe("the share of a rank", () => {
    it("is unlimited while the rank and all more urgent ones fit", () => {
        expect(shareOfRank(new Map([[0, { own: 5, others: 5 }], [1, { own: 4, others: 6 }]]), 1, PLACES)).to.equal(undefined);
    });

    it("is the instance's part of what more urgent ranks leave", () => {
        expect(shareOfRank(new Map([[0, { own: 5, others: 5 }], [1, { own: 10, others: 30 }]]), 1, PLACES)).to.equal(2.5);
    });

    it("leaves places that are empty to less urgent requests although the demand of more urgent ones seems to need them", () => {
        const demands = new Map([[0, { own: 0, others: 40 }], [1, { own: 10, others: 0 }]]);
        expect(shareOfRank(demands, 1, { ...PLACES, inFlight: 12 })).to.equal(8);
    });

    it("adds up to no more than the places over two instances that know the same, whatever the demand", () => {
        const demand = fc.tuple(fc.integer({ min: 0, max: 50 }), fc.integer({ min: 0, max: 50 }));
        fc.assert(fc.property(demand, demand, (urgent, other) => {
            const view = (own: 0 | 1) =>
                new Map([urgent, other].map((each, rank) => [rank, { own: each[own], others: each[1 - own] ?? 0 }]));
            const share = (own: 0 | 1): number => shareOfRank(view(own), 1, PLACES) ?? other[own];
            return share(0) + share(1) <= PLACES.alone + 1e-9;
        }));
    });
});
