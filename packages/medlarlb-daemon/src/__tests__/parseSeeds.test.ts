import { expect } from "chai";
import { parseSeeds } from "../gateway/parseSeeds.js";

describe("parseSeeds", () => {
    // FAULT: such a seed ended the process at its start.
    it("leaves out seeds that are no addresses, and reports them", () => {
        const broken: string[] = [];
        const seeds = parseSeeds("10.0.0.1:80, 10.0.0.2:99999,,x y ,10.0.0.3:81", seed => broken.push(seed));
        expect(seeds).to.deep.equal(["10.0.0.1:80", "10.0.0.3:81"]);
        expect(broken).to.deep.equal(["10.0.0.2:99999", "x y"]);
    });
});
