import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { startGatewayPair } from "./support/startGatewayPair.js";

/** Time in ms in which each instance has told the other its status. */
const STATUS_KNOWN_MS = 1_500;
const REQUESTS = 8;
const MODEL = { name: "m", weights_mb: 1, load_time_s: 1 };

describe("Two gateway processes beside a caller with odd headers", () => {
    let pair: Awaited<ReturnType<typeof startGatewayPair>>;

    beforeEach(async () => {
        const config = createOperatorConfig(4);
        const engine = { slots: 8, kv_capacity: 100_000, models: [MODEL] };
        const services = config.services.map(each => ({ ...each, engine }));
        const models = [{ name: "m", version: 1, adapters: [] }];
        pair = await startGatewayPair({ ...config, services }, { models, headers: { "x-model": "m" } });
    });

    afterEach(() => pair.stop());

    // FAULT: the status of the instance that had the request was refused by the other one.
    it("understand each other's statuses while a caller states a huge number of tokens", async () => {
        for (let count = 0; count < REQUESTS; count += 1) {
            expect(await pair.sendToFirst({ "x-token-count": "1e300,1e300" })).to.equal(200);
        }
        await sleep(STATUS_KNOWN_MS);
        expect(pair.listBrokenMessages()).to.deep.equal([]);
    }).timeout(20_000);
});
