import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import { createWatchRole } from "../directory/createWatchRole.js";

const TICK_MS = 50;
/** Interval at which a watcher passes on that it is in contact with the store. */
const RELAY_MS = 400;
const ZONE_SIZE = 39;
const ids = Array.from({ length: ZONE_SIZE }, (_, index) => brandAs<InstanceId>(`i${String(index).padStart(2, "0")}`));

/** Simulates a zone whose instances tell each other when they are in contact with the store. */
const createZone = () => {
    const members = ids.map(id => ({ id, role: createWatchRole(id, 0), alive: true, reachesStore: true, isHeard: true, nextRelayMs: 0 }));
    members.forEach(member => member.role.setOrder(ids, 0));
    let nowMs = 0;
    let relays = 0;
    const tick = (): InstanceId[] => {
        nowMs += TICK_MS;
        const watching = members.filter(member => member.alive && member.role.shouldWatch(nowMs));
        for (const watcher of watching.filter(each => each.reachesStore && nowMs >= each.nextRelayMs)) {
            if (!watcher.role.shouldRelay(nowMs)) {
                continue;
            }
            relays += 1;
            watcher.nextRelayMs = nowMs + RELAY_MS;
            if (watcher.isHeard) {
                members.filter(each => each !== watcher).forEach(each => each.role.recordWatcher(watcher.id, nowMs));
            }
        }
        return watching.map(each => each.id);
    };
    /** Returns the longest time in which nobody watched with success, and the largest and the last number of watchers. */
    const run = (ms: number) => {
        let longestGapMs = 0;
        let gapMs = 0;
        let most = 0;
        let last = 0;
        for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
            const watching = tick();
            const successful = members.filter(each => watching.includes(each.id) && each.reachesStore);
            gapMs = successful.length > 0 ? 0 : gapMs + TICK_MS;
            longestGapMs = Math.max(longestGapMs, gapMs);
            most = Math.max(most, watching.length);
            last = watching.length;
        }
        return { longestGapMs, most, last };
    };
    const member = (index: number) => members[index] ?? expect.fail("there is no such member");
    return { members, member, run, relays: (): number => relays };
};

describe("the instances of a zone that watch the platform's store", () => {
    it("agree on one watcher after a common start", () => {
        const zone = createZone();
        zone.run(1_000);
        expect(zone.relays()).to.be.below(10);
        expect(zone.run(3_000)).to.deep.equal({ longestGapMs: 0, most: 1, last: 1 });
    });

    it("replace a watcher that dies, by few of them and within the time that a configuration may take", () => {
        const zone = createZone();
        zone.run(2_000);
        zone.member(0).alive = false;
        const { longestGapMs, most, last } = zone.run(4_000);
        expect(longestGapMs).to.be.at.most(1_200);
        expect(most).to.be.at.most(2);
        expect(last).to.equal(1);
    });

    it("replace a watcher that still runs but no longer reaches the store", () => {
        const zone = createZone();
        zone.run(2_000);
        zone.member(0).reachesStore = false;
        const { longestGapMs, last } = zone.run(4_000);
        expect(longestGapMs).to.be.at.most(1_200);
        // The one without the store learns of its replacement too, but stands in front of it and goes on trying.
        expect(last).to.be.at.most(2);
    });

    it("replace several watchers that die together", () => {
        const zone = createZone();
        zone.run(2_000);
        [0, 1, 2, 3].forEach(index => Object.assign(zone.member(index), { alive: false }));
        const { longestGapMs, last } = zone.run(4_000);
        expect(longestGapMs).to.be.at.most(1_600);
        expect(last).to.equal(1);
    });

    it("watch by themselves if they don't hear the watcher", () => {
        const zone = createZone();
        zone.run(2_000);
        zone.members.forEach(member => Object.assign(member, { isHeard: false }));
        expect(zone.run(3_000).last).to.equal(ZONE_SIZE);
    });

    it("call a store that is away the less often the further behind they stand", () => {
        const callsPerSecond = ids.reduce((sum, id) => {
            const role = createWatchRole(id, 0);
            role.setOrder(ids, 0);
            return sum + 1_000 / role.retryDelayMs();
        }, 0);
        expect(callsPerSecond).to.be.below(25);
    });
});
