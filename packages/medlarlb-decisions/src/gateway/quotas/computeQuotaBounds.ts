import type { WorkspaceQuota } from "medlarlb-types/workspaceQuota";
import type { GatewaySettings } from "../gatewaySettings.js";
import { MAX_LENT_MS } from "./maxLentMs.js";
import type { QuotaBounds } from "./quotaBounds.js";

const MS_PER_SECOND = 1_000;
/** Parts of the burst and of the excess, which is what a window allows beyond rate and burst, that pools may hold. */
const BURST_STORAGE_RATIO = 0.9;
const EXCESS_STORAGE_RATIO = 0.25;
/** Part of the excess that accrues within the life of a grant, and the bounds of that life in ms. */
const EXCESS_LIFE_RATIO = 0.2;
const MIN_LIFE_MS = 100;
const MAX_LIFE_MS = 1_000;
/** Tokens pass from hub to hub and from hub to instance, each within the life of a grant. */
const GRANT_HOPS = 2;
/** Number of requests that pools have to hold together so that each zone has its own. */
const MIN_STORED_REQUESTS = 12;
/** Central quotas take one hop more, and are stored at the central hub and once more at the others. */
const CENTRAL_GRANT_HOPS = 3;
const CENTRAL_STORES = 2;
/** Storage for a large request: pools of other hubs can't be emptied to the last token. */
const LARGE_REQUEST_STORAGE_RATIO = 1.25;
/** Part of a window's limit that storage may take, so that tokens still accrue. */
const MAX_STORAGE_RATIO = 0.9;

/**
 * Returns the bounds of a quota, given the cost of the largest recent request. Tokens used in a window are those that exist at
 * its beginning and those that accrue in it: stored ones, and the accrual of the window, of the life of both grants that tokens
 * pass through, and of the time until it is lent. The rate is reduced if these would exceed the limit.
 */
export const computeQuotaBounds = (quota: WorkspaceQuota, settings: GatewaySettings, largestCost: number): QuotaBounds => {
    const { perSecond, burst, unit, plainTokens } = quota;
    const windowSeconds = settings.quotaWindowMs / MS_PER_SECOND;
    const planned = perSecond * windowSeconds + burst;
    const limit = planned * (1 + settings.quotaOverage) + settings.quotaSlack;
    const excess = limit - planned;
    const lifeMs = Math.min(MAX_LIFE_MS, Math.max(MIN_LIFE_MS, EXCESS_LIFE_RATIO * excess / perSecond * MS_PER_SECOND));
    const usualCost = unit === "requests" ? 1 : plainTokens;
    const maxStorage = MAX_STORAGE_RATIO * limit;
    const cost = Math.max(usualCost, largestCost);
    const usualStorage = BURST_STORAGE_RATIO * burst + EXCESS_STORAGE_RATIO * excess;
    const isCentral = usualStorage < MIN_STORED_REQUESTS * cost;
    const storage = Math.min(maxStorage / (isCentral ? CENTRAL_STORES : 1), Math.max(usualStorage, LARGE_REQUEST_STORAGE_RATIO * cost));
    const hops = isCentral ? CENTRAL_GRANT_HOPS : GRANT_HOPS;
    const accruingSeconds = windowSeconds + (hops * lifeMs + MAX_LENT_MS) / MS_PER_SECOND;
    return {
        perSecond: Math.min(perSecond, (limit - storage * (isCentral ? CENTRAL_STORES : 1)) / accruingSeconds),
        storage,
        lifeMs,
        isCentral,
        maxCost: maxStorage / CENTRAL_STORES / LARGE_REQUEST_STORAGE_RATIO,
    };
};
