import { expect } from "chai";
import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import { createDriver } from "./support/createDriver.js";

const LINGER_MS = 10_000;

const oldLedger = (entries: LedgerDocument["entries"] = []): LedgerDocument => ({
    targetId: "e1" as never,
    owner: "a9" as never,
    ownerBoot: "boot-a9" as never,
    fence: 5_000,
    operationId: "op" as never,
    entries,
});

const ledgersInput = (document: LedgerDocument) =>
    ({ kind: "ledgers" as const, documents: new Map([["e1" as never, { document, revision: 7 }]]) });

const elect = (driver: ReturnType<typeof createDriver>): void => {
    driver.give({ kind: "config", snapshot: driver.snapshot() });
    driver.give({ kind: "planner", fence: 10 }, { kind: "anchors", complete: true, anchors: [] });
    driver.wait(100);
};

describe("ledgers", () => {
    it("fences a target before its memory is judged, and loads only after a report asked for since then", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        elect(driver);
        const [fence] = driver.orders(driver.commit(driver.give(ledgersInput(oldLedger()))));
        expect(fence?.order.action).to.equal("fence");
        expect(fence?.order.fence).to.be.above(5_000);
        const beforeMs = driver.now();
        driver.wait(300);
        // This report was asked for before the fencing, so an old load may still arrive after it.
        driver.give(driver.report("e1", [], { requestedAtMs: beforeMs }));
        expect(driver.orders(driver.wait(500)).filter(({ order }) => order.action === "load")).to.deep.equal([]);
        driver.answer(fence as NonNullable<typeof fence>, "done");
        driver.give(driver.report("e1", [], { requestedAtMs: beforeMs }));
        expect(driver.decisions.view().ledgers.get("e1" as never)?.stage).to.equal("judging");
        driver.commit(driver.give(driver.report("e1")));
        expect(driver.orders(driver.commit(driver.wait(200))).map(({ order }) => order.action)).to.deep.equal(["load"]);
    });

    it("takes a target that ignores fencing only when its owner is gone and its orders have run out", () => {
        const driver = createDriver({ targets: [{ id: "e1", fencing: "ignored" }], models: { m: { bytes: 600 } } });
        elect(driver);
        const owner = { id: "a9", role: "daemon" as const, zone: "a" as never, address: "127.0.0.1:9", state: "live" as const };
        driver.give({ kind: "listed", instances: [owner] });
        const writes = (commands: ReturnType<typeof driver.give>) => commands.filter(command => command.kind === "write");
        expect(writes(driver.give(ledgersInput(oldLedger())))).to.deep.equal([]);
        driver.wait(60_000);
        expect(writes(driver.give(ledgersInput(oldLedger())))).to.deep.equal([]);
        driver.give({ kind: "listed", instances: [] });
        expect(writes(driver.give(ledgersInput(oldLedger())))).to.deep.equal([]);
        driver.wait(LINGER_MS - 1);
        expect(writes(driver.give(ledgersInput(oldLedger())))).to.deep.equal([]);
        driver.wait(1);
        expect(writes(driver.give(ledgersInput(oldLedger())))).to.have.lengthOf(1);
    });

    it("takes a released ledger at once", () => {
        const driver = createDriver({ targets: [{ id: "e1", fencing: "ignored" }] });
        elect(driver);
        driver.give({ kind: "listed", instances: [] });
        const commands = driver.give(ledgersInput({ ...oldLedger(), released: true }));
        expect(commands.filter(command => command.kind === "write")).to.have.lengthOf(1);
    });

    it("sends a load only after its bytes are reserved in the KV service", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        driver.own();
        const planned = driver.wait(200);
        expect(driver.orders(planned)).to.deep.equal([]);
        expect(driver.orders(driver.commit(planned)).map(({ order }) => order.action)).to.deep.equal(["load"]);
    });

    it("goes on inside its ledgers when the KV service stays away", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        driver.own();
        const [write] = driver.wait(200).flatMap(command => (command.kind === "write" ? [command.write] : []));
        driver.give({ kind: "written", operationId: write?.operationId as never, outcome: { kind: "unavailable", reason: "down" } });
        expect(driver.orders(driver.wait(1_900))).to.deep.equal([]);
        expect(driver.orders(driver.wait(200)).map(({ order }) => order.action)).to.deep.equal(["load"]);
    });

    it("makes earlier orders void when a target restarted, before it judges the memory anew", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        driver.own({ e1: [["model/m@v1", 600]] });
        driver.wait(100);
        const [fence] = driver.orders(driver.give(driver.report("e1", [], { boot: "boot-2" })));
        expect(fence?.order.action).to.equal("fence");
        expect(fence?.order.fence).to.be.above(10_000);
        driver.give(driver.report("e1", [], { boot: "boot-2" }));
        expect(driver.orders(driver.commit(driver.wait(500))).filter(({ order }) => order.action === "load")).to.deep.equal([]);
    });

    it("keeps bytes promised for a while when a restarted target ignores fencing", () => {
        const driver = createDriver({ targets: [{ id: "e1", fencing: "ignored" }], models: { m: { bytes: 600 } } });
        driver.own({ e1: [["model/m@v1", 600]] });
        driver.wait(100);
        driver.give(driver.report("e1", [], { boot: "boot-2" }));
        expect(driver.decisions.view().ledgers.get("e1" as never)?.entries.get("model/m@v1" as never)?.state).to.equal("quarantined");
        driver.wait(LINGER_MS + 100);
        driver.give(driver.report("e1", [], { boot: "boot-2" }));
        expect(driver.decisions.view().ledgers.get("e1" as never)?.entries.size).to.equal(0);
    });

    it("repeats an unanswered order with the same id, and promises its bytes until the final answer", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        driver.own();
        const [order] = driver.orders(driver.commit(driver.wait(200)));
        driver.answer(order as NonNullable<typeof order>, "lost");
        const repeated = driver.orders(driver.wait(1_000)).filter(each => each.order.action === "load");
        expect(repeated.length).to.be.above(1);
        expect(new Set(repeated.map(each => each.order.orderId))).to.deep.equal(new Set([order?.order.orderId]));
        expect(driver.decisions.view().ledgers.get("e1" as never)?.entries.get("model/m@v1" as never)?.bytes).to.equal(600);
    });

    it("gives a ledger up when the target holds a higher fencing number", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 600 } } });
        driver.own();
        const [order] = driver.orders(driver.commit(driver.wait(200)));
        const commands = driver.answer(order as NonNullable<typeof order>, "stale");
        expect(commands.some(command => command.kind === "record" && command.record.action === "loseOwnership")).to.equal(true);
        expect(driver.decisions.view().orders.size).to.equal(0);
    });

    it("keeps a replica whose anchor write has no answer yet", () => {
        const driver = createDriver({ targets: [{ id: "e1" }, { id: "e2" }], models: { m: { bytes: 600 } } });
        driver.own({ e1: [["model/m@v1", 600]], e2: [["model/m@v1", 600]] });
        const planned = driver.wait(100).concat(driver.wait(100));
        const anchor = planned.find(command => command.kind === "write" && command.write.compares[0]?.key.includes("/anchors/") === true);
        expect(anchor?.kind).to.equal("write");
        const pendingOn = driver.decisions.view().anchors.get("model/m@v1" as never)?.pending?.targetId;
        // Another zone's anchor is in force meanwhile; the open write may still replace it.
        const other = { itemId: "model/m@v1" as never, targetId: (pendingOn === "e1" ? "e2" : "e1") as never, zone: "a" as never, operationId: "x" as never };
        const row = driver.decisions.view().anchors.get("model/m@v1" as never);
        if (row !== undefined) {
            row.document = other;
        }
        driver.give({ kind: "config", snapshot: driver.snapshot({ models: { m: { bytes: 600 }, n: { bytes: 900 } } }) });
        driver.give(driver.report("e1", [["model/m@v1", 600]]), driver.report("e2", [["model/m@v1", 600]]));
        const unloads = driver.wait(500).flatMap(command => (command.kind === "record" && command.record.action === "unload" ? [command.record.target] : []));
        expect(unloads).to.not.include(pendingOn);
    });

    it("unloads an old version only when the anchor of the new one is confirmed", () => {
        const driver = createDriver({ targets: [{ id: "e1" }], models: { m: { bytes: 400 } } });
        driver.own({ e1: [["model/m@v1", 400]] });
        driver.commit(driver.wait(200));
        driver.give({ kind: "config", snapshot: driver.snapshot({ models: { m: { bytes: 400, version: "v2" } } }) });
        const planned = driver.wait(200);
        const unloads = (commands: typeof planned) =>
            commands.filter(command => command.kind === "record" && command.record.action === "unload");
        expect(unloads(planned)).to.deep.equal([]);
        const [load] = driver.orders(driver.commit(planned));
        expect(load?.order.itemId).to.equal("model/m@v2");
        const loaded = driver.answer(load as NonNullable<typeof load>, "done");
        const anchored = loaded.concat(driver.wait(300));
        expect(unloads(anchored)).to.deep.equal([]);
        driver.commit(anchored);
        expect(unloads(driver.wait(300))).to.have.lengthOf(1);
    });
});
