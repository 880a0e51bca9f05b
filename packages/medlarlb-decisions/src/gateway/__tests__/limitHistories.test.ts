import { expect } from "chai";
import { countBeyondLimit } from "./support/countBeyondLimit.js";
import { chooseHistoryGroup } from "./support/chooseHistoryGroup.js";
import { createVirtualService } from "./support/createVirtualService.js";

const HISTORIES = Number(process.env.MEDLARLB_HISTORIES ?? 30);
const FIRST_SEED = Number(process.env.MEDLARLB_SEED ?? 22_501);
const HISTORY_MS = 16_000;

/** Plays requests at a rate that varies, beside restarts, pauses, cuts, resets and new planners, while some or all targets name limits. */
const playHistory = (seed: number, index: number) => {
    const { instances, targets } = chooseHistoryGroup(index);
    const service = createVirtualService({ seed, instances, zones: 3, targets });
    const { random } = service;
    const pick = (count: number): number => Math.floor(random() * count);
    const troubles = [
        () => service.restart(pick(instances), 300 + random() * 1_500),
        () => service.pause(pick(instances), 300 + random() * 4_000),
        () => service.cut(pick(instances), 500 + random() * 5_000),
        () => service.replacePlanner(pick(3)),
        () => service.targets[pick(targets)]?.resetConnections(),
    ];
    const troubleRate = random() * 0.08;
    const limitedCount = random() < 0.3 ? targets : 1 + pick(targets);
    service.run(1_000);
    for (const target of service.targets.slice(0, limitedCount)) {
        service.after(random() * 4_000, () => target.setLimit(0.5 + random() ** 2 * 20));
    }
    for (let tick = 0; service.now() < HISTORY_MS; tick += 1) {
        const isBurst = service.now() % 5_000 < 1_500;
        for (let count = Math.ceil(instances / 30) * (isBurst ? 5 : 1); count > 0; count -= 1) {
            // Half of the requests arrive at a sixth of the instances.
            const instance = random() < 0.5 ? pick(Math.ceil(instances / 6)) : pick(instances);
            service.sendCall(instance, `ordinary-${tick}-${count}`, { kind: random() < 0.5 ? "unsafe" : "safe" });
        }
        for (let count = random() < troubleRate ? 1 + pick(4) : 0; count > 0; count -= 1) {
            troubles[pick(troubles.length)]?.();
        }
        service.run(50);
    }
    return service;
};

describe("histories with limited targets", () => {
    it(`keep each target's requests within its limit (${HISTORIES} from seed ${FIRST_SEED})`, function () {
        this.timeout(Math.max(60_000, HISTORIES * 4_000));
        const faults = Array.from({ length: HISTORIES }, (_, index) => {
            const service = playHistory(FIRST_SEED + index, index);
            return service.targets.flatMap((target, targetIndex) => {
                const excess = countBeyondLimit(service, targetIndex);
                return excess === 0 ? [] : [`seed ${FIRST_SEED + index}: ${excess} beyond ${target.limit()?.perSecond} per second`];
            });
        }).flat();
        expect(faults).to.deep.equal([]);
    });
});
