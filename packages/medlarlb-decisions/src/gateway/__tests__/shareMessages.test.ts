import { expect } from "chai";
import { createContentionRoute } from "./support/createContentionRoute.js";
import { createVirtualContention } from "./support/createVirtualContention.js";
import { runContention } from "./support/runContention.js";

/** Returns the mean length of the fields for ranks and use that an instance sends in a second, as text. */
const measureLength = (instances: number): number => {
    const workspaces = Array.from({ length: 16 }, (_, index) => ({ name: `workspace${index}`, priority: undefined, quota: undefined }));
    const routes = [createContentionRoute("urgent", 0), createContentionRoute("other", 1)];
    const contention = createVirtualContention({ seed: 1, instances, zones: 6, targets: 10, slots: 16, workMs: 40, routes, workspaces });
    const flows = workspaces.flatMap(({ name }) => [["urgent", 75] as const, ["other", 175] as const].map(([route, perSecond]) =>
        ({ route, workspace: name, perSecond, drawInstance: (random: () => number) => Math.floor(random() * instances) })));
    runContention(contention, flows, { warmUpMs: 1_000, durationMs: 2_000 });
    const lengths = contention.statuses.filter(each => each.atMs >= 1_000 && each.atMs < 2_000).map(({ command }) => {
        if (command.kind === "shareStatus") {
            return JSON.stringify([command.status.waiting, command.status.used]).length * command.to.length;
        }
        return command.kind === "shareDigest" ? JSON.stringify([command.digest.waiting, command.digest.used]).length : 0;
    });
    return lengths.reduce((sum, each) => sum + each, 0) / instances;
};

describe("messages about ranks and use", () => {
    it("aren't longer per instance in a group of 195 instances than in one of 63", () => {
        expect(measureLength(195)).to.be.at.most(measureLength(63));
    });
});
