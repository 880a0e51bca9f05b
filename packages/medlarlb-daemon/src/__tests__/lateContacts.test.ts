import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { DirectoryRelay } from "medlarlb-types/directoryRelay";
import type { InstanceId } from "medlarlb-types/instanceId";
import { createDirectoryFixture } from "./support/createDirectoryFixture.js";

const watcher = brandAs<InstanceId>("a:1");
/** Time in ms since the outage began at which the late message arrives, and at which the store is back. */
const LATE_MS = 800;
const OUTAGE_MS = 1_200;
/** Time in ms in which entries may reappear after an outage, and what a test needs beside. */
const GRACE_MS = 2_200;
const OVERHEAD_MS = 300;

describe("the directory of an instance that follows a watcher", () => {
    let sync: ReturnType<typeof createDirectoryFixture>["sync"];

    afterEach(() => sync.stop());

    // ORDER: a message that was held up dated the store's latest answer into an outage, which then counted as the watcher's own.
    it("waits with removals after an outage of the store in which a message of the watcher came late", async () => {
        const fixture = createDirectoryFixture();
        sync = fixture.sync;
        const { events } = fixture;
        const known = { after: 6, revision: 6, items: [], contactAgeMs: 0, readAgeMs: 5, outageEndedAgoMs: undefined };
        const tell = (changes: Partial<DirectoryRelay>): void => sync.applyRelay(watcher, { ...known, ...changes });
        sync.start();
        await sleep(20);
        tell({ after: 5, items: [{ key: "servers/e1", value: "entry", revision: 6 }] });
        await sleep(LATE_MS);
        tell({});
        await sleep(OUTAGE_MS - LATE_MS);
        const outage = { outageBeganAgoMs: OUTAGE_MS, outageEndedAgoMs: 0 };
        tell({ ...outage, revision: 7, items: [{ key: "servers/e1", value: undefined, revision: 7 }] });
        await sleep(200);
        expect(events).to.deep.equal(["config 1", "e1 entry"]);
        await sleep(GRACE_MS + OVERHEAD_MS);
        expect(events).to.deep.equal(["config 1", "e1 entry", "e1 gone"]);
    });
});
