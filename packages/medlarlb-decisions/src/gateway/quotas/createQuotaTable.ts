import type { InstanceId } from "medlarlb-types/instanceId";
import type { RandomSource } from "../../randomSource.js";
import type { QuotaTable } from "./quotaTable.js";

/** Number of values from which the first query's number is drawn. */
const SEQUENCE_RANGE = 1_000_000;

/** Creates the table of an instance that has just started, which has no share of any quota. */
export const createQuotaTable = (instanceId: InstanceId, random: RandomSource): QuotaTable => ({
    registration: undefined,
    sharers: 1,
    lentUntilMs: Number.NEGATIVE_INFINITY,
    present: new Set(),
    goneAtMs: new Map(),
    hub: instanceId,
    heardAtMs: new Map(),
    lenders: new Map(),
    creditedMs: 0,
    creditedFromMs: 0,
    rows: new Map(),
    toAsk: new Set(),
    // An answer to the process before this one at the same address must not count.
    sequence: Math.floor(random() * SEQUENCE_RANGE),
    nextCheckMs: Number.POSITIVE_INFINITY,
    loggedShare: "",
});
