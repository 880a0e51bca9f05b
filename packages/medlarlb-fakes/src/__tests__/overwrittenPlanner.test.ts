import { expect } from "chai";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Time in ms after which such an entry is replaced: that of a lease, that of earlier orders, and a margin. */
const REPLACED_MS = 15_000;
/** Time in ms more for an entry that names an address: that in which an instance registers again, of attempts, and of another lease. */
const UNKNOWN_MS = 39_000;

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

    const listFences = (): unknown[] =>
        gateways.flatMap(({ log }) => log.filter(each => each["event"] === "dutyChanged").map(each => each["fence"]));

    const overwriteEntry = async (value: string, replacedMs: number): Promise<void> => {
        const count = Math.max(1, listFences().length);
        await waitFor("one of them plans", () => listFences().length === count);
        store.put("medlarlb/planners/a", value);
        await waitFor("the planner stops", () => listFences().length === count + 1);
        await waitFor("one of them plans again", () => listFences().length === count + 2, replacedMs);
        expect(listFences().filter(fence => fence === undefined).length).to.equal((count + 1) / 2);
    };

    // FAULT: an entry that named no instance stood for ever, and the zone had no planner.
    it("replace the entry if it names no instance", async () => {
        await overwriteEntry("x y active", REPLACED_MS);
        expect(gateways.every(({ log }) => log.some(each => each["event"] === "entryBroken" && each["key"] === "medlarlb/planners/a"))).to.equal(true);
    }).timeout(60_000);

    // FAULT: so did an entry that named an address at which no instance was.
    it("replace the entry if it names the address of no instance", async () => {
        await overwriteEntry("127.0.0.1:1 active", UNKNOWN_MS + REPLACED_MS);
    }).timeout(90_000);
});
