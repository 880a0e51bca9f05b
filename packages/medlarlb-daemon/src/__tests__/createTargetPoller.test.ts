import { expect } from "chai";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import type { TargetReport } from "medlarlb-types/targetReport";
import type { TargetSpec } from "medlarlb-types/targetSpec";
import { waitFor } from "medlarlb-fakes/cluster/waitFor";
import { Result } from "true-myth";
import { choosePoller } from "../targets/choosePoller.js";
import { createTargetPoller } from "../targets/createTargetPoller.js";

const members = [{ id: "a1", zone: "a" }, { id: "a2", zone: "a" }];
const pollerId = choosePoller("e1", "a", members) ?? "";
const otherId = members.find(member => member.id !== pollerId)?.id ?? "";

const spec: TargetSpec = {
    kind: "engine",
    address: "127.0.0.1:1",
    zone: "a",
    memoryBytes: 1,
    slots: 4,
    fencing: "enforced",
    services: [],
    leaving: false,
};

const report = { bootId: "b", memoryBytes: 1, items: [], leaving: false, fence: 0, inFlight: 0, queued: 0 } as unknown as TargetReport;

const until = (condition: () => boolean): Promise<boolean> => waitFor("the condition", condition);

const createPoller = (selfId: string) => {
    const state = {
        alive: members,
        fails: true,
        polls: 0,
        published: [] as { key: string; value: unknown }[],
        pushed: [] as DecisionInput[],
    };
    const created = createTargetPoller({
        selfId,
        zone: "a",
        peers: {
            alive: () => state.alive,
            nextVersion: () => 1,
            publish: (entry: { key: string; value: unknown }) => state.published.push(entry),
        } as never,
        control: {
            poll: async () => {
                state.polls += 1;
                return state.fails ? Result.err("unreachable") : Result.ok(report);
            },
        } as never,
        targets: () => new Map([["e1", spec]]),
        push: input => state.pushed.push(input),
        countPoll: () => undefined,
    });
    return { ...created, state };
};

const isSilent = (each: { value: unknown }): boolean => (each.value as { silent?: boolean }).silent === true;

describe("createTargetPoller", () => {
    const open: ReturnType<typeof createPoller>[] = [];
    const start = (selfId: string) => {
        const created = createPoller(selfId);
        open.push(created);
        return created;
    };
    afterEach(() => open.splice(0).forEach(each => each.stop()));

    it("publishes that a target is silent if this instance is the target's poller", async () => {
        const { state } = start(pollerId);
        await until(() => state.published.some(isSilent));
    });

    it("publishes nothing about a target that this instance can't reach if another instance is the target's poller", async () => {
        const { state, pollNow } = start(otherId);
        for (let count = 0; count < 6; count += 1) {
            pollNow("e1");
            await until(() => state.polls > count);
        }
        expect(state.published).to.deep.equal([]);
        expect(state.pushed.filter(input => input.kind === "targetSilent")).to.deep.equal([]);
    });

    it("pushes a report for every gossip entry, also for entries that arrive at the same time", () => {
        const { state, applyGossip } = start(otherId);
        const shared = { bootId: "b", memoryBytes: 1, leaving: false, fence: 0, silent: false, level: 0 };
        applyGossip({ key: "target/e1", version: 1, value: { ...shared, items: [] } });
        applyGossip({ key: "load/e1", version: 1, value: 2 });
        applyGossip({ key: "target/e1", version: 2, value: { ...shared, items: [{ itemId: "model/m@v1", bytes: 1, state: "resident" }] } });
        const sequences = state.pushed.flatMap(input => (input.kind === "report" ? [input.report.sequence] : []));
        expect(sequences).to.have.lengthOf(3);
        expect(sequences).to.deep.equal([...new Set(sequences)].sort((a, b) => a - b));
    });

    it("publishes the report again when this instance becomes the target's poller again", async () => {
        const { state } = start(pollerId);
        state.fails = false;
        const reports = () => state.published.filter(each => each.key === "target/e1").length;
        await until(() => reports() === 1);
        state.alive = members.filter(member => member.id === otherId);
        const polled = state.polls;
        await new Promise(resolve => setTimeout(resolve, 600));
        expect(state.polls).to.be.at.most(polled + 1);
        state.alive = members;
        await until(() => reports() === 2);
    });
});
