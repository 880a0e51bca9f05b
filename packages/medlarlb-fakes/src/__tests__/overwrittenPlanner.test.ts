import { expect } from "chai";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Time in ms after which such an entry is replaced: that of a lease, that of earlier orders, and a margin. */
const REPLACED_MS = 15_000;

describe("Two gateway processes whose zone's planner entry another writer overwrites", () => {
    const store = createMetadataStoreServer();
    let gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];

    before(async () => {
        const storeAddress = await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(4)));
        const first = await startGatewayProcess(storeAddress);
        gateways = [first, await startGatewayProcess(storeAddress, { seeds: first.peer })];
    });

    after(() => {
        gateways.forEach(gateway => gateway.stop());
        store.close();
    });

    // FAULT: an entry that named no instance stood for ever, and the zone had no planner.
    it("replace the entry if it names no instance", async () => {
        const findFences = (): unknown[] => gateways.flatMap(({ log }) => log.filter(each => each["event"] === "dutyChanged").map(each => each["fence"]));
        await waitFor("one of them plans", () => findFences().length === 1);
        store.put("medlarlb/planners/a", "x y active");
        await waitFor("the planner stops", () => findFences().length === 2);
        await waitFor("one of them plans again", () => findFences().length === 3, REPLACED_MS);
        expect(findFences()[1]).to.equal(undefined);
        expect(gateways.every(({ log }) => log.some(each => each["event"] === "entryBroken" && each["key"] === "medlarlb/planners/a"))).to.equal(true);
    }).timeout(60_000);
});
