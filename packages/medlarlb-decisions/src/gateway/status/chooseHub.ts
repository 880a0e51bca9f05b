import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";

/** Time in ms without a load digest after which an instance no longer relies on a hub: several digests. */
const SILENT_AFTER_MS = 700;
/** Time in ms for which a silent hub is passed over. */
const PASSED_OVER_MS = 3_000;

/**
 * Returns the instance that collects the load of this zone in a large group: the zone's planner or, while it doesn't respond,
 * the next one in an order that all instances of the zone know. It returns this instance if no one in front of it responds.
 */
export const chooseHub = (context: GatewayContext): InstanceId => {
    const { hubContacts, nowMs } = context;
    const { instanceId } = context.settings;
    for (const id of context.zoneOrder) {
        if (id === instanceId) {
            break;
        }
        const contact = hubContacts.get(id) ?? { sinceMs: nowMs, digestAtMs: Number.NEGATIVE_INFINITY, passedOverUntilMs: 0 };
        if (nowMs < contact.passedOverUntilMs) {
            continue;
        }
        if (nowMs - Math.max(contact.sinceMs, contact.digestAtMs) < SILENT_AFTER_MS) {
            hubContacts.set(id, contact);
            return id;
        }
        // After that time it gets another chance, from that time on.
        hubContacts.set(id, { ...contact, passedOverUntilMs: nowMs + PASSED_OVER_MS, sinceMs: nowMs + PASSED_OVER_MS });
    }
    return instanceId;
};
