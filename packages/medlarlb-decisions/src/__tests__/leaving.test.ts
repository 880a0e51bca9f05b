import { expect } from "chai";
import { createDriver } from "./support/createDriver.js";

const isLeaving = (driver: ReturnType<typeof createDriver>): boolean | undefined =>
    driver.decisions.view().targets.get("e1" as never)?.leaving;

describe("a target that is marked as leaving", () => {
    it("stays leaving whatever its reports say, and takes work again after a restart", () => {
        const driver = createDriver({ targets: [{ id: "e1" }] });
        driver.becomeOwner();
        driver.give({ kind: "targetLeaving", targetId: "e1" as never, source: "another instance" });
        driver.give(driver.report("e1"));
        expect(isLeaving(driver)).to.equal(true);
        driver.give(driver.report("e1", [], { boot: "boot-2" }));
        expect(isLeaving(driver)).to.equal(false);
    });

    it("stays leaving after a restart while the configuration marks it as leaving", () => {
        const driver = createDriver({ targets: [{ id: "e1", leaving: true }] });
        driver.becomeOwner();
        driver.give(driver.report("e1", [], { boot: "boot-2" }));
        expect(isLeaving(driver)).to.equal(true);
    });

    it("takes work again when the configuration no longer marks it as leaving", () => {
        const driver = createDriver({ targets: [{ id: "e1", leaving: true }] });
        driver.becomeOwner();
        expect(isLeaving(driver)).to.equal(true);
        driver.give({ kind: "config", snapshot: driver.snapshot({ targets: [{ id: "e1" }] }) });
        expect(isLeaving(driver)).to.equal(false);
    });
});
