import { chooseHistoryGroup } from "./support/chooseHistoryGroup.js";
import { createVirtualStreams } from "./support/createVirtualStreams.js";
import { expectOneVersion } from "./support/expectOneVersion.js";

const HISTORIES = Number(process.env.MEDLARLB_HISTORIES ?? 20);
const FIRST_SEED = Number(process.env.MEDLARLB_SEED ?? 320_001);
const HISTORY_MS = 14_000;

/** Plays streams beside targets that come back at other versions, resets, and instances that restart, pause and are cut off. */
const playHistory = (seed: number, index: number) => {
    const { instances, targets } = chooseHistoryGroup(index);
    const service = createVirtualStreams({ seed, instances, zones: 3, targets: 2 * targets });
    const { random } = service;
    const pick = (count: number): number => Math.floor(random() * count);
    const troubles = [
        () => service.restartTarget(pick(2 * targets), `v${1 + pick(3)}`, 200 + random() * 2_000),
        () => service.resetConnections(pick(2 * targets)),
        () => service.restart(pick(instances), 300 + random() * 1_500),
        () => service.pause(pick(instances), 300 + random() * 3_000),
        () => service.cut(pick(instances), 300 + random() * 4_000),
    ];
    const troubleRate = random() * 0.15;
    service.run(1_000);
    for (let tick = 0; service.now() < HISTORY_MS; tick += 1) {
        for (let count = Math.ceil(instances / 20); count > 0; count -= 1) {
            service.begin();
        }
        for (let count = random() < troubleRate ? 1 + pick(3) : 0; count > 0; count -= 1) {
            troubles[pick(troubles.length)]?.();
        }
        service.run(50);
    }
    service.run(5_000);
    return service;
};

const checkHistory = (seed: number, index: number): void => expectOneVersion(playHistory(seed, index).streams, seed, index);

describe("histories with streams of several software versions", () => {
    it(`join no events of two versions, and let streams go on, in ${HISTORIES} histories from seed ${FIRST_SEED}`, () => {
        for (let index = 0; index < HISTORIES; index += 1) {
            checkHistory(FIRST_SEED + index, index);
        }
    }).timeout(3_600_000);

    it("let half of the streams go on with seed 321222, in which instances that began some were cut off from all others", () => checkHistory(321_222, 222));
});
