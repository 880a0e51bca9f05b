import type { ConfigSnapshot } from "medlarlb-types/configSnapshot";
import type { DecisionCommand } from "medlarlb-types/decisionCommand";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import type { ResidentItem } from "medlarlb-types/residentItem";
import { createDecisions } from "../../createDecisions.js";
import type { DecisionSettings } from "../../decisionSettings.js";
import { defaultDecisionSettings } from "../../defaultDecisionSettings.js";

interface DriverTarget {
    id: string;
    fencing?: "enforced" | "ignored";
    memoryBytes?: number;
    services?: string[];
    leaving?: boolean;
    slots?: number;
}

interface DriverPlan {
    targets: DriverTarget[];
    models?: Record<string, { bytes: number; version?: string }>;
    adapters?: Record<string, { model: string; bytes: number }>;
    services?: Record<string, { nonIdempotent: boolean }>;
    settings?: Partial<DecisionSettings>;
}

/** Creates the decisions of instance a1 in zone a, with a clock that the test advances. */
export const createDriver = (plan: DriverPlan) => {
    const decisions = createDecisions({
        ...defaultDecisionSettings,
        ...plan.settings,
        instanceId: "a1" as DecisionSettings["instanceId"],
        bootId: "boot-a1" as DecisionSettings["bootId"],
        zone: "a" as DecisionSettings["zone"],
    }, () => 0.5);
    let nowMs = 1_000;
    let revision = 0;
    let sequence = 0;

    const snapshot = (changes: Partial<DriverPlan> = {}): ConfigSnapshot => {
        const { targets, models = {}, adapters = {}, services = {} } = { ...plan, ...changes };
        revision += 1;
        return {
            revision,
            models: new Map(Object.entries(models).map(([name, { bytes, version = "v1" }]) => [name, { bytes, version }])),
            adapters: new Map(Object.entries(adapters).map(([name, spec]) => [name, { ...spec, version: "v1" }])),
            modelversions: new Map(),
            services: new Map(Object.entries(services).map(([name, spec]) => [name, { ...spec, timeoutMs: 1_000 }])),
            targets: new Map(targets.map(target => [target.id, {
                kind: target.services === undefined ? "engine" as const : "service" as const,
                address: "127.0.0.1:1",
                zone: "a",
                memoryBytes: target.memoryBytes ?? 1_000,
                slots: target.slots ?? 4,
                fencing: target.fencing ?? "enforced",
                services: target.services ?? [],
                leaving: target.leaving ?? false,
            }])),
            placements: new Map(),
        };
    };

    /** Runs one step with the given inputs at the current time. Returns its commands. */
    const give = (...inputs: DecisionInput[]): DecisionCommand[] => decisions.step(nowMs, inputs);

    /** Commits all writes, also those that follow from them. Returns the commands of the steps that this runs. */
    const commitWrites = (commands: DecisionCommand[]): DecisionCommand[] => {
        const collected: DecisionCommand[] = [];
        let writes = commands.filter(command => command.kind === "write");
        while (writes.length > 0) {
            const next = writes.flatMap(({ write }) => {
                revision += 1;
                return give({ kind: "written", operationId: write.operationId, outcome: { kind: "committed", revision } });
            });
            collected.push(...next);
            writes = next.filter(command => command.kind === "write");
        }
        return collected;
    };

    const report = (
        targetId: string,
        items: [string, number][] = [],
        options: { boot?: string; requestedAtMs?: number } = {},
    ): DecisionInput => {
        sequence += 1;
        return {
            kind: "report",
            requestedAtMs: options.requestedAtMs ?? nowMs,
            report: {
                targetId: targetId as never,
                bootId: (options.boot ?? "boot-1") as never,
                sequence,
                memoryBytes: plan.targets.find(target => target.id === targetId)?.memoryBytes ?? 1_000,
                items: items.map(([itemId, bytes]) => ({ itemId, bytes, state: "resident" }) as ResidentItem),
                inFlight: 0,
                queued: 0,
                leaving: false,
                fence: 0,
            },
        };
    };

    const getOrders = (commands: DecisionCommand[]) => commands.flatMap(command => (command.kind === "order" ? [command] : []));

    return {
        decisions,
        give,
        commitWrites,
        report,
        getOrders,
        snapshot,
        now: () => nowMs,
        /** Advances the clock and runs a step every 100 ms. Returns all commands. */
        advance: (ms: number): DecisionCommand[] => {
            const collected: DecisionCommand[] = [];
            for (let passed = 0; passed < ms; passed += 100) {
                nowMs += Math.min(100, ms - passed);
                collected.push(...give());
            }
            return collected;
        },
        answer: (order: ReturnType<typeof getOrders>[number], outcome: "done" | "refused" | "stale" | "lost" | "accepted"): DecisionCommand[] =>
            give({ kind: "orderAnswer", targetId: order.targetId, orderId: order.order.orderId, outcome, reason: "" }),
        /** Makes a1 the planner and the owner of all ledgers. `residentItems` are the items that each engine reports. */
        becomeOwner: (residentItems: Record<string, [string, number][]> = {}): void => {
            give({ kind: "config", snapshot: snapshot() });
            give({ kind: "planner", fence: 10 }, { kind: "anchors", complete: true, anchors: [] });
            nowMs += 100;
            give();
            const ledgerCommands = give({ kind: "ledgers", documents: new Map() });
            const fences = getOrders(commitWrites(ledgerCommands));
            fences.forEach(fence =>
                give({ kind: "orderAnswer", targetId: fence.targetId, orderId: fence.order.orderId, outcome: "done", reason: "" }));
            const engines = plan.targets.filter(target => target.services === undefined);
            engines.forEach(target => commitWrites(give(report(target.id, residentItems[target.id] ?? []))));
        },
    };
};
