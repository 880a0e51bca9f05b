import { expect } from "chai";
import { createReturnRounds } from "./support/createReturnRounds.js";

const ROUNDS = Number(process.env.MEDLARLB_ROUNDS ?? 2);
const SEED = Number(process.env.MEDLARLB_SEED ?? 32_001);
const MAX_LOST = Number(process.env.MEDLARLB_MAX_LOST ?? 300);
const ROUND_TIMEOUT_MS = 60_000;
/** Lines of the gateways' logs that are printed after a round with faults. */
const LOGGED_LINES = 120;

describe("Two gateway processes in random rounds with a store that comes back from an older copy", () => {
    let rounds: Awaited<ReturnType<typeof createReturnRounds>> | undefined;

    before(async () => {
        rounds = await createReturnRounds({ seed: SEED, maxLost: MAX_LOST });
    });

    after(() => rounds?.stop());

    for (let round = 1; round <= ROUNDS; round += 1) {
        it(`have acknowledged versions in force and use no target that leaves in round ${round} of seed ${SEED}`, async () => {
            const faults = await rounds?.playRound() ?? [];
            if (faults.length > 0) {
                console.log([...faults, ...rounds?.logs().slice(-LOGGED_LINES) ?? []].join("\n"));
            }
            expect(faults.slice(0, 5), `${faults.length} faults`).to.deep.equal([]);
        }).timeout(ROUND_TIMEOUT_MS);
    }
});
