import { expect } from "chai";
import { createVirtualMachines } from "./support/createVirtualMachines.js";
import { playSlowTarget } from "./support/playSlowTarget.js";

/** Load as a share of what all places can do. */
const LOAD = 0.7;
const SLOTS = 4;

describe("targets that report their duration of work", function () {
    this.timeout(60_000);

    it("answer 97% of the requests in time while another one of three is slow four times a second", () => {
        expect(playSlowTarget(true).inTime, "two instances").to.be.at.least(0.97);
        expect(playSlowTarget(true, true, 1).inTime, "one instance, whose requests all wait in one queue").to.be.at.least(0.97);
    });

    it("have a shorter p99 than targets that don't report it, in the same load with a slow target", () => {
        expect(playSlowTarget(false).p99Ms).to.be.below(playSlowTarget(false, false).p99Ms);
    });

    it("are used evenly when 63 of them have speeds from 1 to 4 and the callers are at instances with a skew of 1.2", () => {
        const targets = 63;
        const speed = (target: number): number => 1 + 3 * target / (targets - 1);
        const workMs = 160;
        const service = createVirtualMachines({
            seed: 41_101,
            instances: 6,
            targets,
            slots: SLOTS,
            workMs,
            usualSpeed: speed,
            currentSpeed: () => 1,
            changeIntervalMs: 1_000,
            sendsWorkTime: true,
            demandShares: Array.from({ length: 6 }, (_, index) => 1 / (index + 1) ** 1.2),
        });
        const speedSum = service.targets.reduce((sum, { index }) => sum + speed(index), 0);
        const perSecond = speedSum * SLOTS / workMs * 1_000 * LOAD;
        service.run(perSecond, 4_000);
        service.resetCounts();
        service.run(perSecond, 25_000);
        service.countBusyTimes();
        const used = service.targets.map(each => each.busyMs);
        const servedForSpeed = service.targets.map(each => each.served / speed(each.index));
        const meanServed = servedForSpeed.reduce((sum, each) => sum + each, 0) / targets;
        expect(Math.max(...used) / Math.min(...used), "utilization").to.be.at.most(1.15);
        expect(Math.max(...servedForSpeed) / meanServed, "busiest target").to.be.at.most(1.3);
    });
});
