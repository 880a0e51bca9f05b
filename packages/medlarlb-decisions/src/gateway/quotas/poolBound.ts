import type { GatewayContext } from "../gatewayContext.js";
import { centralHub } from "./centralHub.js";
import { lentShare } from "./lentShare.js";
import type { QuotaRow } from "./quotaRow.js";

/** Time in ms for which a hub that has answered counts as one that lends to the central hub. */
const ANSWERED_MS = 3_000;

/** Returns how many tokens of a quota this hub may store: a part by its followers' shares, or for all hubs that it reaches. */
export const poolBound = (context: GatewayContext, row: QuotaRow): number => {
    const share = lentShare(context);
    if (centralHub(context, row) !== context.settings.instanceId) {
        return row.bounds.storage * share;
    }
    const answering = [...row.answeredAtMs.values()].filter(atMs => context.nowMs - atMs < ANSWERED_MS).length;
    return row.bounds.storage * Math.min(1, share * (1 + answering));
};
