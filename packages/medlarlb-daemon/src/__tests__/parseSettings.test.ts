import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { parseSettings } from "../settings/parseSettings.js";

use(jestSnapshotPlugin());

const GOOD = [
    "[instance]",
    "id = a1",
    "zone = a",
    "[caller]",
    "address = 10.0.0.4:8080",
    "[operator]",
    "address = 10.0.0.4:9080",
    "[peer]",
    "address = 10.0.0.4:7080",
    "key = sixteen letters or more",
    "[platform]",
    "kv = http://10.0.0.2:2379",
    "instances = http://10.0.0.2:8500/instances",
].join("\n");

describe("parseSettings", () => {
    it("fills in the defaults", () => {
        const settings = parseSettings(GOOD);
        expect(settings.isOk).to.equal(true);
        expect(settings.unwrapOr(undefined as never)).toMatchSnapshot();
    });

    it("lists every fault at once, with its line and remedy, and without the secret", () => {
        const broken = GOOD
            .replace("zone = a", "zoen = a")
            .replace("10.0.0.4:8080", "caller.example:8080")
            .replace("sixteen letters or more", "short")
            .concat("\n[policy]\nmoveWeight = much\n[extra]\nthing = 1");
        const faults = parseSettings(broken);
        expect(faults.isErr).to.equal(true);
        if (faults.isErr) {
            expect(faults.error).toMatchSnapshot();
            expect(JSON.stringify(faults.error)).to.not.include("short\"");
        }
    });
});
