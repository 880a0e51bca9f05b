import { expect } from "chai";
import type { Route } from "medlarlb-types/route";
import type { GatewayCommand } from "../gatewayCommand.js";
import { createContentionRoute } from "./support/createContentionRoute.js";
import { createVirtualContention } from "./support/createVirtualContention.js";
import { createVirtualDeployment } from "./support/createVirtualDeployment.js";
import { runContention } from "./support/runContention.js";

/** Runs a service over its capacity, and returns all that its instances send and decide. Its requests all take the route `r`. */
const runPlainService = (otherRoute: Route, instances: number): GatewayCommand[] => {
    const routes = [createContentionRoute("r", 1), otherRoute];
    const contention = createVirtualContention({ seed: 21, instances, zones: 2, targets: 3, slots: 4, workMs: 40, routes });
    runContention(contention, [{ route: "r", perSecond: 450, drawInstance: random => Math.floor(random() * instances) }], {
        warmUpMs: 500,
        durationMs: 2_000,
    });
    return contention.commands.map(each => each.command);
};

const OTHER_SERVICE = { destinations: [{ service: "other", weight: 1 }] };
const STATUS_FIELDS = ["arrivals", "instanceId", "loads", "ofZone", "planning", "waiting", "zone"];

describe("instances whose requests have one priority and no workspaces", () => {
    for (const instances of [2, 6, 20]) {
        it(`send the same messages whatever other services' routes have, at ${instances} instances under overload`, () => {
            const commands = runPlainService(createContentionRoute("o", 0, OTHER_SERVICE), instances);
            expect(commands).to.have.length.above(500);
            expect(commands).to.deep.equal(runPlainService(createContentionRoute("o", 1, OTHER_SERVICE), instances));
            for (const command of commands) {
                if (command.kind === "shareStatus") {
                    expect(Object.keys(command.status).sort()).to.deep.equal(STATUS_FIELDS);
                    expect(command.status.waiting).to.deep.equal([]);
                }
            }
        });
    }

    it("send other messages if a route of the service has another priority, which shows that the comparison sees them", () => {
        const commands = runPlainService(createContentionRoute("o", 0), 2);
        expect(commands).not.to.deep.equal(runPlainService(createContentionRoute("o", 1), 2));
    });

    it("send statuses with the fields of a model's waiting requests only that they had before", () => {
        const deployment = createVirtualDeployment({ seed: 3, zones: 2, enginesPerZone: 1, models: 3, priorities: [1] });
        deployment.run(500);
        for (let call = 0; call < 40; call += 1) {
            deployment.sendCall(0, "m0");
        }
        deployment.run(400);
        const demand = deployment.instances[1]?.decisions.view();
        expect(demand?.demand.get("llm/m0")?.waiting.size).to.be.above(0);
        expect(demand?.fairness.reports.size).to.equal(0);
    });
});
