import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import { waitUntil } from "../shared/waitUntil.js";
import { createDirectoryFixture } from "./support/createDirectoryFixture.js";

const watcher = brandAs<InstanceId>("a:1");
const HEARTBEAT_MS = 300;

describe("the directory of an instance", () => {
    let sync: ReturnType<typeof createDirectoryFixture>["sync"];
    let stopHeartbeat = (): void => undefined;

    afterEach(() => {
        stopHeartbeat();
        sync.stop();
    });

    const createFixture = () => {
        const fixture = createDirectoryFixture();
        sync = fixture.sync;
        const { relay } = fixture;
        /** Has the watcher of the zone tell every now and then that it is in contact with the store. */
        const startHeartbeat = (known: () => number): void => {
            const timer = setInterval(() => relay(known(), []), HEARTBEAT_MS);
            stopHeartbeat = () => clearInterval(timer);
            relay(known(), []);
        };
        return { ...fixture, startHeartbeat };
    };

    it("follows the watcher of its zone without calls to the store of its own", async () => {
        const { calls, events, relays, relay, startHeartbeat } = createFixture();
        sync.start();
        await sleep(20);
        startHeartbeat(() => 5);
        await sleep(700);
        calls.splice(0);
        relay(5, [{ key: "op/config", value: "config 2", revision: 6 }, { key: "servers/e1", value: "entry", revision: 7 }]);
        relay(7, [{ key: "servers/e1", value: undefined, revision: 8 }]);
        stopHeartbeat();
        startHeartbeat(() => 8);
        await sleep(700);
        expect(events).to.deep.equal(["config 1", "config 2", "e1 entry", "e1 gone"]);
        expect(calls).to.deep.equal([]);
        expect(relays).to.deep.equal([]);
    });

    it("reads missing changes from the store if the watcher passes on later ones", async () => {
        const { calls, events, relay, startHeartbeat, change } = createFixture();
        sync.start();
        await sleep(20);
        startHeartbeat(() => 5);
        await sleep(700);
        calls.splice(0);
        change({ key: "op/config", value: "config 2", revision: 9 });
        relay(8, [{ key: "servers/e1", value: "entry", revision: 10 }]);
        await sleep(100);
        expect(calls).to.deep.equal(["watch 5"]);
        expect(events).to.include("config 2");
    });

    it("lists the store anew if the changes that it missed are too many for one response", async () => {
        const { calls, events, change, setLongHistory } = createFixture();
        setLongHistory(true);
        sync.start();
        await waitUntil(() => calls.length >= 2, 1_000);
        change({ key: "op/config", value: "config 2", revision: 9 });
        await waitUntil(() => events.includes("config 2"), 3_000);
        expect(calls.slice(0, 3)).to.deep.equal(["list", "watch 5", "list"]);
        expect(events).to.deep.equal(["config 1", "config 2"]);
    });

    it("watches the store itself within 1.5 s when the watcher is silent, and passes changes on", async () => {
        const { calls, events, relays, startHeartbeat, change } = createFixture();
        sync.start();
        await sleep(20);
        startHeartbeat(() => 5);
        await sleep(700);
        stopHeartbeat();
        calls.splice(0);
        change({ key: "op/config", value: "config 2", revision: 6 });
        await sleep(1_500);
        expect(calls[0]).to.equal("watch 5");
        expect(events).to.include("config 2");
        expect(relays[0]).to.deep.include({ after: 5, revision: 6, items: [{ key: "op/config", value: "config 2", revision: 6 }] });
    });

    // ORDER: a follower that missed another watcher's message took its changes for known, and never learned of a new version.
    it("passes on no later revision than that of the changes that it passes on, also if another watcher has told it of later ones", async () => {
        const { relays, change } = createFixture();
        sync.start();
        await sleep(100);
        change({ key: "servers/e1", value: "entry", revision: 6 });
        sync.applyRelay(brandAs<InstanceId>("c:1"), {
            after: 5,
            revision: 8,
            items: [{ key: "servers/e1", value: "entry", revision: 6 }, { key: "servers/e2", value: "entry", revision: 8 }],
            contactAgeMs: 5_000,
            outageEndedAgoMs: undefined,
        });
        await waitUntil(() => relays.length > 0, 2_000);
        expect(relays[0]).to.deep.include({ after: 5, revision: 6, items: [{ key: "servers/e1", value: "entry", revision: 6 }] });
    });

    it("watches the store itself if the watcher has lost contact with the store", async () => {
        const { calls } = createFixture();
        sync.start();
        await sleep(20);
        calls.splice(0);
        const timer = setInterval(() => sync.applyRelay(watcher, {
            after: 5,
            revision: 5,
            items: [],
            contactAgeMs: 5_000,
            outageEndedAgoMs: undefined,
        }), HEARTBEAT_MS);
        stopHeartbeat = () => clearInterval(timer);
        await sleep(1_200);
        expect(calls).to.include("watch 5");
    });

    it("waits with removals after an outage of which the watcher tells, because entries reappear", async () => {
        const { events } = createFixture();
        sync.start();
        await sleep(20);
        const passOn = (after: number, entry: StoreEntry): void =>
            sync.applyRelay(watcher, { after, revision: entry.revision, items: [entry], contactAgeMs: 0, outageEndedAgoMs: 100 });
        passOn(5, { key: "servers/e1", value: "entry", revision: 6 });
        passOn(6, { key: "servers/e1", value: undefined, revision: 7 });
        await sleep(200);
        expect(events).to.not.include("e1 gone");
        passOn(7, { key: "servers/e1", value: "entry", revision: 8 });
        await sleep(2_300);
        expect(events).to.not.include("e1 gone");
    });

    it("doesn't wait with removals because of an outage that only the watcher had, since it read the store itself meanwhile", async () => {
        const { events } = createFixture();
        sync.start();
        await sleep(2_500);
        const passOn = (after: number, entry: StoreEntry): void => sync.applyRelay(watcher, {
            after,
            revision: entry.revision,
            items: [entry],
            contactAgeMs: 0,
            outageEndedAgoMs: 100,
            outageBeganAgoMs: 2_400,
        });
        passOn(5, { key: "servers/e1", value: "entry", revision: 6 });
        passOn(6, { key: "servers/e1", value: undefined, revision: 7 });
        await sleep(200);
        expect(events).to.deep.equal(["config 1", "e1 entry", "e1 gone"]);
    });

    describe("doesn't bring back a target that the store has removed", () => {
        const entry: StoreEntry = { key: "servers/e1", value: "entry", revision: 7 };

        const startWithRemovedTarget = async () => {
            const fixture = createFixture();
            sync.start();
            await sleep(20);
            fixture.startHeartbeat(() => 5);
            await sleep(700);
            fixture.relay(5, [entry]);
            fixture.relay(7, [{ ...entry, value: undefined, revision: 9 }]);
            stopHeartbeat();
            return fixture;
        };

        it("because of a late message of another watcher", async () => {
            const { events, relay } = await startWithRemovedTarget();
            relay(5, [entry]);
            relay(6, [entry, { key: "servers/e2", value: "entry", revision: 8 }]);
            expect(events).to.deep.equal(["config 1", "e1 entry", "e1 gone"]);
            relay(9, [{ ...entry, revision: 10 }]);
            expect(events.slice(3), "written again").to.deep.equal(["e1 entry"]);
        });

        it("because of a list that is older than what another instance has passed on", async () => {
            const { events, calls, relay, change, compact } = createFixture();
            change(entry);
            sync.start();
            await sleep(20);
            relay(7, [{ ...entry, value: undefined, revision: 9 }]);
            compact(7);
            await waitUntil(() => calls.filter(each => each === "list").length === 2, 2_000);
            await sleep(50);
            expect(events).to.deep.equal(["config 1", "e1 entry", "e1 gone"]);
        });
    });

    it("keeps the listed instances after the return of an older store until they had time to register again", async () => {
        const { events, instanceCounts, change, restore } = createFixture();
        const config = { key: "op/config", value: "config 1", revision: 5 };
        change({ key: "medlarlb/instances/10.0.0.1:1", value: "{\"zone\":\"z\"}", revision: 6 });
        sync.start();
        await sleep(50);
        restore([config]);
        await waitUntil(() => events.includes("store restored"), 2_000);
        await sleep(1_000);
        expect(Math.min(...instanceCounts)).to.equal(1);
        await waitUntil(() => instanceCounts.at(-1) === 0, 3_000);
        expect(instanceCounts.at(-1)).to.equal(0);
    });

    // ONE: a process that started after the return took it that no planner was active, since the store named none.
    it("takes leases for lost when it reads the store first in a later era, and when the store comes back, but not in the first era", async () => {
        for (const era of [0, 1]) {
            const { events, restore } = createFixture();
            restore([{ key: "op/config", value: "config 1", revision: 5 }], era);
            sync.start();
            await sleep(50);
            expect(events).to.deep.equal(era === 0 ? ["config 1"] : ["leases lost", "config 1"]);
            restore([{ key: "op/config", value: "config 2", revision: 5 }]);
            await waitUntil(() => events.includes("config 2"), 2_000);
            expect(events.slice(-3)).to.deep.equal(["leases lost", "store restored", "config 2"]);
            sync.stop();
        }
    });

    it("has seen the list when it asked for changes, not when they came", async () => {
        const { contacts } = createFixture();
        sync.start();
        const askedByMs = performance.now() + 50;
        await sleep(600);
        expect(contacts[0]).to.be.below(askedByMs);
    });

    it("has seen the list as long ago as the watcher that passes changes on", async () => {
        const { contacts, startHeartbeat } = createFixture();
        sync.start();
        await sleep(20);
        startHeartbeat(() => 5);
        await sleep(1_500);
        contacts.splice(0);
        sync.applyRelay(watcher, { after: 5, revision: 5, items: [], contactAgeMs: 0, outageEndedAgoMs: undefined, readAgeMs: 2_000 });
        expect(contacts).to.have.length(1);
        expect(performance.now() - (contacts[0] ?? 0)).to.be.within(2_000, 2_500);
    });

    it("takes a message that waited while the process was frozen for as old as the freeze", async () => {
        const { contacts, startHeartbeat } = createFixture();
        sync.start();
        await sleep(20);
        startHeartbeat(() => 5);
        await sleep(1_500);
        contacts.splice(0);
        const frozenSinceMs = performance.now();
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1_000);
        await sleep(10);
        sync.applyRelay(watcher, { after: 5, revision: 5, items: [], contactAgeMs: 0, outageEndedAgoMs: undefined, readAgeMs: 0 });
        expect(contacts.at(-1)).to.be.within(frozenSinceMs - 1_000, frozenSinceMs);
    });

    // FAULT: the rejection of the loop that follows the store ended the process.
    it("leaves out an entry whose handler throws an error, uses the others, and follows the store on", async () => {
        const { change, events, failAt } = createFixture();
        change({ key: "servers/e1", value: "broken", revision: 6 });
        change({ key: "servers/e2", value: "whole", revision: 7 });
        failAt("broken");
        sync.start();
        await sleep(50);
        expect(events).to.deep.equal(["config 1", "failed entry servers/e1: TypeError: a fault in an entry", "e1 gone", "e2 whole"]);
        change({ key: "servers/e1", value: "mended", revision: 8 });
        await sleep(1_200);
        expect(events.slice(4)).to.deep.equal(["e1 mended"]);
    }).timeout(5_000);

    it("keeps the configuration before one whose handler throws an error, and takes the next", async () => {
        const { change, events, failAt } = createFixture();
        failAt("broken");
        sync.start();
        await sleep(50);
        change({ key: "op/config", value: "broken", revision: 6 });
        await sleep(1_200);
        change({ key: "op/config", value: "config 3", revision: 7 });
        await sleep(1_200);
        expect(events).to.deep.equal(["config 1", "failed entry op/config: TypeError: a fault in an entry", "config 3"]);
    }).timeout(5_000);

    // FAULT: the entries counted as known, so that neither handler learned of them until the next change of such an entry.
    for (const when of ["first list", "watch"]) {
        it(`tells the planners although the handler of the instances throws an error at the ${when}, and the instances again`, async () => {
            const { change, events, failGroups, instanceCounts, plannerCounts } = createFixture();
            if (when === "watch") {
                sync.start();
                await sleep(50);
            }
            failGroups(1);
            change({ key: "medlarlb/instances/10.0.0.1:1", value: JSON.stringify({ zone: "a" }), revision: 6 });
            change({ key: "medlarlb/planners/a", value: "10.0.0.1:1 active", revision: 7 });
            if (when === "first list") {
                sync.start();
            }
            await waitUntil(() => events.some(each => each.includes("a fault in the instances")), 3_000);
            expect(plannerCounts.at(-1)).to.equal(1);
            await waitUntil(() => instanceCounts.at(-1) === 1, 3_000);
            expect(instanceCounts.at(-1)).to.equal(1);
        }).timeout(10_000);
    }

    it("repeats a call to the store that throws an error", async () => {
        const { calls, events, failCalls } = createFixture();
        failCalls(1);
        sync.start();
        await waitUntil(() => events.includes("config 1"), 3_000);
        expect(events).to.deep.equal(["failed call undefined: TypeError: a fault in a call", "config 1"]);
        expect(calls.slice(0, 2)).to.deep.equal(["list", "list"]);
    }).timeout(5_000);
});
