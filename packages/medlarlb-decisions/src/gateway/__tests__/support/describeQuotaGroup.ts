import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayInput } from "../../gatewayInput.js";
import { canReach } from "./canReach.js";
import type { VirtualQuotaInstance } from "./virtualQuotaInstance.js";

/** Time in ms after which an instance knows that another one doesn't respond, or that it responds again. */
const DETECTION_MS = 2_000;

/** Returns the group as one of its instances knows it: those that it has read from the store, and those that respond to it. */
export const describeQuotaGroup = (
    instances: readonly VirtualQuotaInstance[],
    self: VirtualQuotaInstance,
    nowMs: number,
): Extract<GatewayInput, { kind: "instances" }> => {
    const known = new Set(self.listed);
    const members = instances.filter(each => {
        const isUp = nowMs < each.endsAtMs && (nowMs >= each.resumesAtMs || nowMs <= each.startedAtMs + DETECTION_MS);
        const isKnown = known.has(each.id) || nowMs - each.startedAtMs >= DETECTION_MS;
        return each.id !== self.id && isUp && isKnown && canReach(each, self, nowMs);
    }).map(({ settings }) => ({ id: settings.instanceId, zone: settings.zone }));
    const { instanceId, zone } = self.settings;
    const planners = new Map<ZoneId, InstanceId>();
    for (const each of [...members, { id: instanceId, zone }]) {
        const planner = planners.get(each.zone);
        if (planner === undefined || each.id < planner) {
            planners.set(each.zone, each.id);
        }
    }
    return {
        kind: "instances",
        count: Math.max(known.size, members.length + 1),
        listed: self.listed.map(id => brandAs<InstanceId>(id)),
        planners,
        members,
        zoneOrder: [...members.filter(each => each.zone === zone).map(each => each.id), instanceId].sort(),
    };
};
