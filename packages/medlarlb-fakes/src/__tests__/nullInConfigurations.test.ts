import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { startGatewayPair } from "./support/startGatewayPair.js";

/** Time in ms in which a document is known to all instances, and in which those that it ends have ended. */
const KNOWN_MS = 1_500;
const OLD_VERSION = 4;
const NEW_VERSION = 5;
/** A version of nanoseconds since 1970, which is above the largest safe integer. */
const NANOSECOND_VERSION = 1_780_000_000_000_000_000;

type Config = ReturnType<typeof createOperatorConfig>;

/** Documents of which a part has a value that nothing can have. JSON has null for an undefined member of a list. */
const oddDocuments: Record<string, (config: Config) => unknown> = {
    "a route that is null": config => ({ ...config, routes: [...config.routes, undefined] }),
    "a destination that is null": config =>
        ({ ...config, routes: config.routes.map(route => ({ ...route, traffic_split: [undefined, { service: "s", weight: 1 }] })) }),
    "a negative idle time-out": config => ({ ...config, limits: { ...config.limits, idle_timeout_ms: -2_000 } }),
};

describe("Two gateway processes that read a configuration", () => {
    let pair: Awaited<ReturnType<typeof startGatewayPair>>;

    beforeEach(async () => {
        pair = await startGatewayPair(createOperatorConfig(OLD_VERSION));
    });

    afterEach(() => pair.stop());

    // FAULT: the processes ended, or answered no request with 200.
    for (const [name, create] of Object.entries(oddDocuments)) {
        it(`serve with ${name}`, async () => {
            pair.store.put("op/config", JSON.stringify(create(createOperatorConfig(NEW_VERSION))));
            await sleep(KNOWN_MS);
            const answers = [await pair.sendToEach(), await pair.sendToEach()];
            await sleep(KNOWN_MS);
            const expected = { answers: [[200, 200], [200, 200]], ended: [false, false] };
            expect({ answers, ended: pair.gateways.map(each => each.hasEnded()) }).to.deep.equal(expected);
        }).timeout(20_000);
    }

    // FAULT: the revision in the probes was refused, so that each instance dropped all probes of the others.
    it("understand each other's messages if its version is above the largest safe integer", async () => {
        pair.store.put("op/config", JSON.stringify(createOperatorConfig(NANOSECOND_VERSION)));
        await sleep(2 * KNOWN_MS);
        expect(pair.listBrokenMessages()).to.deep.equal([]);
    }).timeout(20_000);
});
