import type { GatewayWorld } from "../gatewayWorld.js";
import { noteDemand } from "../placement/noteDemand.js";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";

/** Interval in ms at which instances tell each other of their load. */
const STATUS_MS = 150;

const listWaiting = (world: GatewayWorld): InstanceStatus["waiting"] => {
    const waiting = new Map<string, InstanceStatus["waiting"][number]>();
    for (const queue of world.queues.values()) {
        for (const { facts } of queue) {
            const key = `${facts.service}/${facts.model ?? ""}`;
            const each = waiting.get(key) ?? { service: facts.service, model: facts.model ?? "", requests: 0 };
            each.requests += 1;
            waiting.set(key, each);
        }
    }
    return [...waiting.values()].filter(each => each.model !== "");
};

const listLoads = (world: GatewayWorld): InstanceStatus["loads"] => {
    const loads: InstanceStatus["loads"] = [];
    for (const [targetId, target] of world.targets) {
        let backlogTokens = 0;
        const runs: Record<string, number> = {};
        for (const flight of target.flights.values()) {
            backlogTokens += flight.begunAtMs === undefined ? flight.workTokens : 0;
            if (flight.model !== undefined) {
                runs[flight.model] = (runs[flight.model] ?? 0) + 1;
            }
        }
        if (target.flights.size > 0) {
            loads.push({ targetId, backlogTokens, running: target.flights.size, runs });
        }
    }
    return loads;
};

/** Tells the other instances of this one's callers and load, at a fixed interval. */
export const buildStatus = (world: GatewayWorld): void => {
    if (world.nowMs < world.nextStatusMs) {
        return;
    }
    world.nextStatusMs = world.nowMs + STATUS_MS;
    const status: InstanceStatus = {
        instanceId: world.settings.instanceId,
        zone: world.settings.zone,
        planning: world.fence !== undefined,
        arrivals: [...world.arrivals.values()],
        waiting: listWaiting(world),
        loads: listLoads(world),
    };
    world.arrivals.clear();
    noteDemand(world, status);
    world.commands.push({ kind: "shareStatus", status });
};
