import { expect } from "chai";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { createTcpRelay } from "./support/createTcpRelay.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Shortest time in ms between the last order of one planner and the first order of the next, as in the settings of the test. */
const LEASE_MS = 3_000;
/** Time in ms by which a planner has taken over. */
const TAKEOVER_MS = 15_000;

describe("A gateway process that starts just after its store has come back from an older copy", () => {
    const store = createMetadataStoreServer();
    const gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];
    let relay: Awaited<ReturnType<typeof createTcpRelay>> | undefined;

    after(() => {
        gateways.forEach(gateway => gateway.stop());
        relay?.close();
        store.close();
    });

    /** Returns the time in ms of the first change of a process's duty to `isPlanner`. */
    const findDutyChange = (gateway: number, isPlanner: boolean): number | undefined =>
        gateways[gateway]?.log.find(line => line.event === "dutyChanged" && (line.fence !== undefined) === isPlanner)?.time as number | undefined;

    // ONE: the process gave orders 3.3 s after its start, while the former planner, which was cut off from the store, still did so.
    it("gives no orders until the lease of a former planner, which it can't know, and its orders are past", async () => {
        store.put("op/config", JSON.stringify(createOperatorConfig(4)));
        const copy = store.copy();
        const address = await listenOnFreePort(store.server);
        relay = await createTcpRelay(address);
        gateways.push(await startGatewayProcess(relay.address));
        await waitFor("the first process is planner", () => findDutyChange(0, true) !== undefined, TAKEOVER_MS);
        relay.setCut(true);
        store.restore(copy);
        gateways.push(await startGatewayProcess(address));
        await waitFor("the second process is planner", () => findDutyChange(1, true) !== undefined, TAKEOVER_MS);
        expect(findDutyChange(0, false), "end of the first planner's orders").to.be.a("number");
        expect((findDutyChange(1, true) ?? 0) - (findDutyChange(0, false) ?? 0)).to.be.at.least(LEASE_MS);
    }).timeout(60_000);
});
