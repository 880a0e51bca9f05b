import { expect } from "chai";
import { Registry } from "prom-client";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { Workspace } from "medlarlb-types/workspace";
import { createWorkspaceAnswers } from "../gateway/createWorkspaceAnswers.js";

const MAX_WORKSPACES = 2_000;

const createConfig = (names: string[]): RoutingConfig => {
    const workspaces = names.map((name): [string, Workspace] => [name, { name, priority: undefined, quota: undefined }]);
    return { workspaces: new Map(workspaces) } as unknown as RoutingConfig;
};

describe("the counter of answers by workspace", () => {
    const createCounter = () => {
        const registry = new Registry();
        const answers = createWorkspaceAnswers(registry);
        const listSeries = async (): Promise<string[]> => (await registry.metrics()).split("\n")
            .flatMap(line => /\{(.*)\} (\d+)/.exec(line)?.slice(1).join(" ") ?? []);
        return { ...answers, listSeries };
    };

    it("counts by class of status, and requests of no workspace under an empty name", async () => {
        const { applyConfig, count, listSeries } = createCounter();
        applyConfig(createConfig(["a"]));
        [["a", 200], ["a", 204], ["a", 503], [undefined, 401], ["gone", 200]].forEach(([name, status]) => count(name as string, status as number));
        expect(await listSeries()).to.have.members([
            "workspace=\"a\",status=\"2xx\" 2",
            "workspace=\"a\",status=\"5xx\" 1",
            "workspace=\"\",status=\"4xx\" 1",
            "workspace=\"other\",status=\"2xx\" 1",
        ]);
    });

    it("keeps no series of workspaces that the configuration no longer has, so that its memory is bounded", async () => {
        const { applyConfig, count, listSeries } = createCounter();
        for (const version of [1, 2, 3]) {
            const names = Array.from({ length: MAX_WORKSPACES + 100 }, (_, index) => `w${version}-${index}`);
            applyConfig(createConfig(names));
            names.forEach(name => [200, 401, 503].forEach(status => count(name, status)));
        }
        expect(await listSeries()).to.have.length(3 * (MAX_WORKSPACES + 1));
    });
});
