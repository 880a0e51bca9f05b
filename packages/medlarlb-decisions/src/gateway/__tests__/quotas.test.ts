import { expect } from "chai";
import type { Workspace } from "medlarlb-types/workspace";
import { encodeFrame } from "medlarlb-peers/encodeFrame";
import { countBeyondQuota } from "./support/countBeyondQuota.js";
import { createQuotaWorkspace } from "./support/createQuotaWorkspace.js";
import { createVirtualQuotaGroup } from "./support/createVirtualQuotaGroup.js";
import { quotaLimit } from "./support/quotaLimit.js";
import type { VirtualQuotaInstance } from "./support/virtualQuotaInstance.js";

const ZONES = 3;
const TICK_MS = 5;
const WARM_UP_MS = 4_000;
const COST = 300;
const QUOTA = createQuotaWorkspace("w", 60_000, 60_000);

type Group = ReturnType<typeof createVirtualQuotaGroup>;
type Answer = Group["answers"][number];

/** Sends requests at a rate in requests per second for a time to the instances that are chosen for each. */
const sendFor = (
    group: Group,
    durationMs: number,
    perSecond: number,
    choose: () => VirtualQuotaInstance | undefined,
    cost = COST,
    workspace = "w",
): Answer[] => {
    const begin = group.answers.length;
    const endMs = group.now() + durationMs;
    let due = 0;
    while (group.now() < endMs) {
        due += perSecond * TICK_MS / 1_000 * 2 * group.random();
        for (; due >= 1; due -= 1) {
            group.sendCall(choose(), workspace, cost);
        }
        group.run(TICK_MS);
    }
    group.run(50);
    return group.answers.slice(begin);
};

const anyInstance = (group: Group) => () => group.instances[Math.floor(group.random() * group.instances.length)];
const mostlyOne = (group: Group, index: number) => () => (group.random() < 0.95 ? group.instances[index] : anyInstance(group)());

const servedTokens = (answers: readonly Answer[], cost = COST): number => answers.filter(each => each.status === 200).length * cost;
const countRefused = (answers: readonly Answer[]): number => answers.filter(each => each.status !== 200).length;

const excessOf = (group: Group, workspace: Workspace): number => {
    const { settings } = group.instances[0] ?? expect.fail("there is no instance");
    const limit = quotaLimit(workspace, settings);
    return countBeyondQuota(group.uses.get(workspace.name) ?? [], settings.quotaWindowMs, () => limit);
};

const RATE = (QUOTA.quota?.perSecond ?? 0) / COST;

describe("a quota over all instances", () => {
    for (const instances of [6, 63]) {
        const create = (workspaces = [QUOTA]): Group => {
            const group = createVirtualQuotaGroup({ seed: 31, instances, zones: ZONES, workspaces });
            group.run(WARM_UP_MS);
            return group;
        };

        it(`is served to 95% at three times the quota that is spread evenly over ${instances} instances`, () => {
            const group = create();
            sendFor(group, 3_000, 3 * RATE, anyInstance(group));
            const answers = sendFor(group, 10_000, 3 * RATE, anyInstance(group));
            expect(servedTokens(answers)).to.be.at.least(0.95 * 10 * (QUOTA.quota?.perSecond ?? 0));
            expect(excessOf(group, QUOTA)).to.equal(0);
        });

        it(`is served to 90% at three times the quota with 95% of it at one of ${instances} instances, also after a move`, () => {
            const group = create();
            sendFor(group, 3_000, 3 * RATE, mostlyOne(group, 4));
            const answers = sendFor(group, 10_000, 3 * RATE, mostlyOne(group, 4));
            expect(servedTokens(answers), "before the move").to.be.at.least(0.9 * 10 * (QUOTA.quota?.perSecond ?? 0));
            sendFor(group, 3_000, 3 * RATE, mostlyOne(group, 2));
            const later = sendFor(group, 5_000, 3 * RATE, mostlyOne(group, 2));
            expect(servedTokens(later), "after the move").to.be.at.least(0.9 * 5 * (QUOTA.quota?.perSecond ?? 0));
            expect(excessOf(group, QUOTA)).to.equal(0);
        });

        it(`refuses nothing below 0.7 of the quota wherever its callers are connected, with ${instances} instances`, () => {
            const group = create();
            expect(countRefused(sendFor(group, 10_000, 0.69 * RATE, anyInstance(group))), "spread evenly").to.equal(0);
            expect(countRefused(sendFor(group, 10_000, 0.69 * RATE, mostlyOne(group, 5))), "at one").to.equal(0);
            expect(countRefused(sendFor(group, 10_000, 0.69 * RATE, mostlyOne(group, 0))), "after a move").to.equal(0);
        });

        it(`answers 429 within 50 ms with spread retry times that fit the caller's time, with ${instances} instances`, () => {
            const group = create();
            const answers = sendFor(group, 8_000, 3 * RATE, anyInstance(group)).filter(each => each.status !== 200);
            expect(answers).to.have.length.above(1_000);
            expect(new Set(answers.map(each => each.status))).to.deep.equal(new Set([429]));
            expect(Math.max(...answers.map(each => each.heldMs))).to.be.at.most(50);
            expect(answers.every(each => each.retryAfterMs !== undefined && each.retryAfterMs <= each.leftMs / 3)).to.equal(true);
            expect(new Set(answers.map(each => Math.round(each.retryAfterMs ?? 0))).size).to.be.above(20);
        });
    }

    const withoutBurst: [string, Workspace, number][] = [
        ["tokens", createQuotaWorkspace("w", 60_000, 0), COST],
        ["requests", createQuotaWorkspace("w", 100, 0, { unit: "requests" }), 1],
    ];
    for (const [unit, workspace, cost] of withoutBurst) {
        it(`refuses nothing below 0.7 of a quota of ${unit} without a burst, wherever its callers are connected`, () => {
            const refused = [1, 2, 39, 40].map(seed => {
                const group = createVirtualQuotaGroup({ seed, instances: 63, zones: ZONES, workspaces: [workspace] });
                group.run(WARM_UP_MS);
                const perSecond = 0.69 * (workspace.quota?.perSecond ?? 0) / cost;
                return [anyInstance(group), mostlyOne(group, 5), mostlyOne(group, 0), mostlyOne(group, 4)]
                    .reduce((sum, choose) => sum + countRefused(sendFor(group, 6_000, perSecond, choose, cost)), 0);
            });
            expect(refused).to.deep.equal([0, 0, 0, 0]);
        });
    }

    it("serves a burst that was saved up, within the limit of the window", () => {
        const workspace = createQuotaWorkspace("w", 30_000, 120_000);
        const group = createVirtualQuotaGroup({ seed: 32, instances: 6, zones: ZONES, workspaces: [workspace] });
        group.run(10_000);
        const answers = sendFor(group, 1_000, 600, anyInstance(group));
        expect(servedTokens(answers)).to.be.at.least(0.8 * 120_000);
        sendFor(group, 9_000, 600, anyInstance(group));
        expect(excessOf(group, workspace)).to.equal(0);
    });

    it("is usable 16 s after all instances have started for the first time", () => {
        const group = createVirtualQuotaGroup({ seed: 33, instances: 6, zones: ZONES, workspaces: [QUOTA], isNew: true });
        group.run(16_000);
        expect(countRefused(sendFor(group, 5_000, 0.69 * RATE, anyInstance(group)))).to.equal(0);
    });

    it("is usable within 2 s after all instances are killed and start again at their addresses", () => {
        const group = createVirtualQuotaGroup({ seed: 34, instances: 6, zones: ZONES, workspaces: [QUOTA] });
        group.run(WARM_UP_MS);
        sendFor(group, 3_000, 3 * RATE, anyInstance(group));
        [...group.instances].forEach(each => group.restart(each, 300));
        group.run(2_300);
        expect(countRefused(sendFor(group, 5_000, 0.69 * RATE, anyInstance(group)))).to.equal(0);
        expect(excessOf(group, QUOTA)).to.equal(0);
    });

    it("names a time to retry after which the request is served, and not much later than the quota allows it", () => {
        const group = createVirtualQuotaGroup({ seed: 38, instances: 6, zones: ZONES, workspaces: [QUOTA] });
        group.run(WARM_UP_MS);
        for (const instance of [0, 4]) {
            sendFor(group, 3_000, 3 * RATE, mostlyOne(group, instance));
            group.sendCall(group.instances[instance], "w", 30_000, 10_000);
            group.run(60);
            const [refusal] = group.answers.slice(-1);
            expect(refusal?.status).to.equal(429);
            const retryAfterMs = refusal?.retryAfterMs ?? expect.fail("there is no time");
            // At the quota's rate, 30,000 tokens accrue in 500 ms.
            expect(retryAfterMs).to.be.within(400, 1_600);
            group.run(retryAfterMs);
            group.sendCall(group.instances[instance], "w", 30_000, 10_000);
            group.run(60);
            expect(group.answers.at(-1)?.status).to.equal(200);
        }
    });

    it("refuses a request that could never fit it at once, without a time to retry", () => {
        const group = createVirtualQuotaGroup({ seed: 35, instances: 6, zones: ZONES, workspaces: [QUOTA] });
        group.run(WARM_UP_MS);
        group.sendCall(group.instances[0], "w", 1_000_000);
        group.run(1);
        expect(group.answers).to.have.lengthOf(1);
        expect(group.answers[0]).to.include({ status: 429, retryAfterMs: undefined });
    });

    const odd: [string, Workspace, number][] = [
        ["burst 0", createQuotaWorkspace("w", 60_000, 0), 300],
        ["a tiny quota of requests", createQuotaWorkspace("w", 0.5, 0, { unit: "requests" }), 1],
        ["few requests", createQuotaWorkspace("w", 5, 0, { unit: "requests" }), 1],
        ["requests", createQuotaWorkspace("w", 100, 100, { unit: "requests" }), 1],
        ["a huge quota", createQuotaWorkspace("w", 1e9, 1e9), 5_000_000],
        ["requests beyond the storage of a hub", createQuotaWorkspace("w", 10_000, 0), 3_000],
    ];
    for (const [name, workspace, cost] of odd) {
        it(`is kept, and used, at three times the quota with ${name}`, () => {
            const group = createVirtualQuotaGroup({ seed: 36, instances: 6, zones: ZONES, workspaces: [workspace] });
            group.run(WARM_UP_MS);
            const { perSecond } = workspace.quota ?? expect.fail("there is no quota");
            const answers = sendFor(group, 40_000, 3 * perSecond / cost, anyInstance(group), cost);
            expect(excessOf(group, workspace)).to.equal(0);
            if (process.env.MEDLARLB_SHOW !== undefined) {
                console.log(name, (servedTokens(answers, cost) / 40 / perSecond).toFixed(3));
            }
            expect(servedTokens(answers, cost)).to.be.above(0);
        });
    }

    it("costs at most 200 B/s and no message per request with 16 workspaces at 320 instances", function () {
        this.timeout(120_000);
        const workspaces = Array.from({ length: 16 }, (_, index) => createQuotaWorkspace(`hule9${index + 10}`, 321_164, 321_164));
        const group = createVirtualQuotaGroup({
            seed: 37,
            instances: 320,
            zones: 6,
            workspaces,
            countBytes: message => encodeFrame(message as never).length,
        });
        group.run(WARM_UP_MS);
        const before = group.instances.map(({ bytes, messages }) => ({ bytes, messages }));
        const seconds = 4;
        const perSecond = 4_600;
        for (let tick = 0; tick < seconds * 200; tick += 1) {
            for (let count = 0; count < perSecond / 200; count += 1) {
                const workspace = workspaces[Math.floor(group.random() * 16)];
                group.sendCall(anyInstance(group)(), workspace?.name ?? "", 750);
            }
            group.run(TICK_MS);
        }
        const bytes = group.instances.map((each, index) => (each.bytes - (before[index]?.bytes ?? 0)) / seconds);
        const messages = group.instances.reduce((sum, each, index) => sum + each.messages - (before[index]?.messages ?? 0), 0);
        const mean = bytes.reduce((sum, each) => sum + each, 0) / bytes.length;
        if (process.env.MEDLARLB_SHOW !== undefined) {
            const messagesPerRequest = messages / seconds / perSecond;
            console.log({ mean, max: Math.max(...bytes), messagesPerRequest, refused: countRefused(group.answers) });
        }
        expect(messages / seconds / perSecond, "messages per request").to.be.below(1);
        expect(mean, "bytes per second and instance").to.be.at.most(200);
    });
});
