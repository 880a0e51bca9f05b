import { expect } from "chai";
import { parseAddress } from "../parseAddress.js";

describe("parseAddress", () => {
    it("takes an IP number and a port", () => {
        expect(parseAddress("10.0.0.1:1")).to.deep.equal({ host: "10.0.0.1", port: 1 });
        expect(parseAddress("255.255.255.255:65535")).to.deep.equal({ host: "255.255.255.255", port: 65_535 });
    });

    for (const text of [
        "",
        ":",
        "x y",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999",
        "10.0.0.1:-1",
        "10.0.0.1:80.5",
        "10.0.0.1:1e3",
        "256.0.0.1:80",
        "10.0.1:80",
        "010.0.0.1:80",
        "10.0.0.1:80:80",
        " 10.0.0.1:80",
        "10.0.0.1:80\n",
        "localhost:80",
        "[::1]:80",
        "::1:80",
    ]) {
        it(`takes nothing from ${JSON.stringify(text)}`, () => expect(parseAddress(text)).to.equal(undefined));
    }
});
