import { expect } from "chai";
import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import { createDriver } from "./support/createDriver.js";

const ORDER_LINGER_MS = 10_000;

const createPreviousLedger = (entries: LedgerDocument["entries"] = []): LedgerDocument => ({
    targetId: "e1" as never,
    owner: "a9" as never,
    ownerBoot: "boot-a9" as never,
    fence: 5_000,
    operationId: "op" as never,
    entries,
});

const createLedgersInput = (document: LedgerDocument) =>
    ({ kind: "ledgers" as const, documents: new Map([["e1" as never, { document, revision: 7 }]]) });

const becomePlanner = (driver: ReturnType<typeof createDriver>): void => {
    driver.give({ kind: "config", snapshot: driver.snapshot() });
    driver.give({ kind: "planner", fence: 10 }, { kind: "anchors", complete: true, anchors: [] });
    driver.advance(100);
};

describe("ledgers of a planner", () => {
    it("fences a target before its ledger is reconciled, and loads only after a report requested since the fencing", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        becomePlanner(driver);
        const [fence] = driver.getOrders(driver.commitWrites(driver.give(createLedgersInput(createPreviousLedger()))));
        expect(fence?.order.action).to.equal("fence");
        expect(fence?.order.fence).to.be.above(5_000);
        const beforeMs = driver.now();
        driver.advance(300);
        // This report was requested before the fencing, so an earlier load order may still arrive after it.
        driver.give(driver.report("e1", [], { requestedAtMs: beforeMs }));
        expect(driver.getOrders(driver.advance(500)).filter(({ order }) => order.action === "load")).to.deep.equal([]);
        driver.answer(fence as NonNullable<typeof fence>, "done");
        driver.give(driver.report("e1", [], { requestedAtMs: beforeMs }));
        expect(driver.decisions.view().ledgers.get("e1" as never)?.stage).to.equal("judging");
        driver.commitWrites(driver.give(driver.report("e1")));
        expect(driver.getOrders(driver.commitWrites(driver.advance(200))).map(({ order }) => order.action)).to.deep.equal(["load"]);
    });

    it("acquires a target that ignores fencing only when its owner is dead and that owner's orders can't arrive any more", () => {
        const driver = createDriver({ targets: [{ id: "e1", fencing: "ignored" }], models: { m: { bytes: 600 } } });
        becomePlanner(driver);
        const owner = { id: "a9", role: "daemon" as const, zone: "a" as never, address: "127.0.0.1:9", state: "live" as const };
        driver.give({ kind: "listed", instances: [owner] });
        const getWrites = (commands: ReturnType<typeof driver.give>) => commands.filter(command => command.kind === "write");
        expect(getWrites(driver.give(createLedgersInput(createPreviousLedger())))).to.deep.equal([]);
        driver.advance(60_000);
        expect(getWrites(driver.give(createLedgersInput(createPreviousLedger())))).to.deep.equal([]);
        driver.give({ kind: "listed", instances: [] });
        expect(getWrites(driver.give(createLedgersInput(createPreviousLedger())))).to.deep.equal([]);
        driver.advance(ORDER_LINGER_MS - 1);
        expect(getWrites(driver.give(createLedgersInput(createPreviousLedger())))).to.deep.equal([]);
        driver.advance(1);
        expect(getWrites(driver.give(createLedgersInput(createPreviousLedger())))).to.have.lengthOf(1);
    });

    it("acquires a released ledger at once", () => {
        const driver = createDriver({ targets: [{ id: "e1", fencing: "ignored" }] });
        becomePlanner(driver);
        driver.give({ kind: "listed", instances: [] });
        const commands = driver.give(createLedgersInput({ ...createPreviousLedger(), released: true }));
        expect(commands.filter(command => command.kind === "write")).to.have.lengthOf(1);
    });

    it("sends a load only after its bytes are reserved in the KV service", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        driver.becomeOwner();
        const planned = driver.advance(200);
        expect(driver.getOrders(planned)).to.deep.equal([]);
        expect(driver.getOrders(driver.commitWrites(planned)).map(({ order }) => order.action)).to.deep.equal(["load"]);
    });

    it("continues within its ledgers after the KV outage grace", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        driver.becomeOwner();
        const [write] = driver.advance(200).flatMap(command => (command.kind === "write" ? [command.write] : []));
        driver.give({ kind: "written", operationId: write?.operationId as never, outcome: { kind: "unavailable", reason: "down" } });
        expect(driver.getOrders(driver.advance(1_900))).to.deep.equal([]);
        expect(driver.getOrders(driver.advance(200)).map(({ order }) => order.action)).to.deep.equal(["load"]);
    });

    it("fences a restarted target to invalidate earlier orders before it reconciles the ledger again", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        driver.becomeOwner({ e1: [["model/m@v1", 600]] });
        driver.advance(100);
        const [fence] = driver.getOrders(driver.give(driver.report("e1", [], { boot: "boot-2" })));
        expect(fence?.order.action).to.equal("fence");
        expect(fence?.order.fence).to.be.above(10_000);
        driver.give(driver.report("e1", [], { boot: "boot-2" }));
        expect(driver.getOrders(driver.commitWrites(driver.advance(500))).filter(({ order }) => order.action === "load")).to.deep.equal([]);
    });

    it("keeps the bytes of missing items in quarantine when a restarted target ignores fencing", () => {
        const driver = createDriver({ targets: [{ id: "e1", fencing: "ignored" }], models: { m: { bytes: 600 } } });
        driver.becomeOwner({ e1: [["model/m@v1", 600]] });
        driver.advance(100);
        driver.give(driver.report("e1", [], { boot: "boot-2" }));
        expect(driver.decisions.view().ledgers.get("e1" as never)?.entries.get("model/m@v1" as never)?.state).to.equal("quarantined");
        driver.advance(ORDER_LINGER_MS + 100);
        driver.give(driver.report("e1", [], { boot: "boot-2" }));
        expect(driver.decisions.view().ledgers.get("e1" as never)?.entries.size).to.equal(0);
    });

    it("repeats an unanswered order with the same id, and keeps its bytes promised until the final answer", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        driver.becomeOwner();
        const [order] = driver.getOrders(driver.commitWrites(driver.advance(200)));
        driver.answer(order as NonNullable<typeof order>, "lost");
        const repeated = driver.getOrders(driver.advance(1_000)).filter(each => each.order.action === "load");
        expect(repeated.length).to.be.above(1);
        expect(new Set(repeated.map(each => each.order.orderId))).to.deep.equal(new Set([order?.order.orderId]));
        expect(driver.decisions.view().ledgers.get("e1" as never)?.entries.get("model/m@v1" as never)?.bytes).to.equal(600);
    });

    it("loses a ledger when the target holds a higher fencing number", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        driver.becomeOwner();
        const [order] = driver.getOrders(driver.commitWrites(driver.advance(200)));
        const commands = driver.answer(order as NonNullable<typeof order>, "stale");
        expect(commands.some(command => command.kind === "record" && command.record.action === "loseOwnership")).to.equal(true);
        expect(driver.decisions.view().orders.size).to.equal(0);
    });

    it("keeps a replica loaded while its anchor write has no answer yet", () => {
        const driver = createDriver({ targets: [{ id: "e1" }, { id: "e2" }], models: { m: { bytes: 600 } } });
        driver.becomeOwner({ e1: [["model/m@v1", 600]], e2: [["model/m@v1", 600]] });
        const planned = driver.advance(100).concat(driver.advance(100));
        const anchor = planned.find(command => command.kind === "write" && command.write.compares[0]?.key.includes("/anchors/") === true);
        expect(anchor?.kind).to.equal("write");
        const pendingOn = driver.decisions.view().anchors.get("model/m@v1" as never)?.pending?.targetId;
        // Meanwhile another zone's anchor is in force, but the unanswered write may still replace it.
        const other = { itemId: "model/m@v1" as never, targetId: (pendingOn === "e1" ? "e2" : "e1") as never, zone: "a" as never, operationId: "x" as never };
        const row = driver.decisions.view().anchors.get("model/m@v1" as never);
        if (row !== undefined) {
            row.document = other;
        }
        driver.give({ kind: "config", snapshot: driver.snapshot({ models: { m: { bytes: 600 }, n: { bytes: 900 } } }) });
        driver.give(driver.report("e1", [["model/m@v1", 600]]), driver.report("e2", [["model/m@v1", 600]]));
        const unloadTargets = driver.advance(500).flatMap(command => (command.kind === "record" && command.record.action === "unload" ? [command.record.target] : []));
        expect(unloadTargets).to.not.include(pendingOn);
    });

    it("unloads an old version only when the anchor of the new one is confirmed", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 400 } } });
        driver.becomeOwner({ e1: [["model/m@v1", 400]] });
        driver.commitWrites(driver.advance(200));
        driver.give({ kind: "config", snapshot: driver.snapshot({ models: { m: { bytes: 400, version: "v2" } } }) });
        const planned = driver.advance(200);
        const getUnloads = (commands: typeof planned) =>
            commands.filter(command => command.kind === "record" && command.record.action === "unload");
        expect(getUnloads(planned)).to.deep.equal([]);
        const [load] = driver.getOrders(driver.commitWrites(planned));
        expect(load?.order.itemId).to.equal("model/m@v2");
        const loaded = driver.answer(load as NonNullable<typeof load>, "done");
        const anchored = loaded.concat(driver.advance(300));
        expect(getUnloads(anchored)).to.deep.equal([]);
        driver.commitWrites(anchored);
        expect(getUnloads(driver.advance(300))).to.have.lengthOf(1);
    });
});
