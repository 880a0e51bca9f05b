import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import { storeEras } from "medlarlb-types/storeEras";
import { waitUntil } from "../shared/waitUntil.js";
import { createDirectoryFixture } from "./support/createDirectoryFixture.js";

const watcher = brandAs<InstanceId>("a:1");

describe("the directory of an instance takes all entries that another instance knows as of a later revision", () => {
    let sync: ReturnType<typeof createDirectoryFixture>["sync"];

    const config: StoreEntry = { key: "op/config", value: "config 1", revision: storeEras.join(2, 5) };
    const entry: StoreEntry = { key: "servers/e2", value: "entry", revision: storeEras.join(2, 6) };

    afterEach(() => sync.stop());

    const createFixture = () => {
        const fixture = createDirectoryFixture();
        sync = fixture.sync;
        return fixture;
    };

    const startAndCutOff = async () => {
        const fixture = createFixture();
        fixture.change({ key: "servers/e1", value: "entry", revision: 6 });
        sync.start();
        await sleep(20);
        fixture.setReachable(false);
        await waitUntil(() => sync.needsPeers(), 3_000);
        return fixture;
    };

    it("while it can't reach the store, so that a target of an earlier era is gone", async () => {
        const { events } = await startAndCutOff();
        sync.applyPeerEntries(watcher, [config, entry], storeEras.join(2, 7));
        await waitUntil(() => events.includes("e1 gone"), 3_000);
        expect(events).to.deep.equal(["config 1", "e1 entry", "store away", "leases lost", "store restored", "config 1", "e2 entry", "e1 gone"]);
        expect(sync.revision()).to.equal(storeEras.join(2, 7));
    });

    it("but none as of an earlier revision", async () => {
        const { events } = await startAndCutOff();
        sync.applyPeerEntries(watcher, [], 5);
        await sleep(50);
        expect(events).to.deep.equal(["config 1", "e1 entry", "store away"]);
        expect(sync.entriesSince(6)).to.equal(undefined);
        expect(sync.entriesSince(5)?.revision).to.equal(6);
    });

    it("but none while it reads the store itself", async () => {
        const { events } = createFixture();
        sync.start();
        await sleep(20);
        sync.applyPeerEntries(watcher, [entry], entry.revision);
        expect(events).to.deep.equal(["config 1"]);
    });

    it("when it has started and can't reach the store, and follows the watcher of its zone from there", async () => {
        const { events, setReachable, relay } = createFixture();
        setReachable(false);
        sync.start();
        await sleep(20);
        sync.applyPeerEntries(watcher, [config, entry], storeEras.join(2, 7));
        relay(storeEras.join(2, 7), [{ ...entry, value: undefined, revision: storeEras.join(2, 8) }]);
        expect(events).to.deep.equal(["leases lost", "config 1", "e2 entry", "e2 gone"]);
    });
});
