import type { InstanceId } from "medlarlb-types/instanceId";
import type { QuotaRow } from "./quotaRow.js";

/** What an instance knows of the shares of all quotas, and the quotas that were used. */
export interface QuotaTable {
    /** Validity of the lease of this instance's entry in the store's list, and the time from which it accrues. */
    registration: { validUntilMs: number; accruesFromMs: number } | undefined;
    /** Number of instances that share the quotas, as of its latest status. */
    sharers: number;
    /** Time up to which accrual has been lent. */
    lentUntilMs: number;
    /** Instances that are listed or respond, and the times at which others were last so. */
    present: ReadonlySet<InstanceId>;
    goneAtMs: Map<InstanceId, number>;
    /** Hub to which this instance lends, as of its latest status; it may be itself. */
    hub: InstanceId;
    /** Time of the latest status of each instance of this zone, in a small group. */
    heardAtMs: Map<InstanceId, number>;
    /** As a hub: the instances that lend to this one, with the part of the quotas that each accrues and the ms it may still lend. */
    lenders: Map<InstanceId, { atMs: number; share: number; allowanceMs: number }>;
    /** Ms of accrual lent to this hub since its start, each multiplied with its lender's share. */
    creditedMs: number;
    /** Value of `creditedMs` from which quotas without a row have accrued. */
    creditedFromMs: number;
    rows: Map<string, QuotaRow>;
    /** Workspaces for which the hub is to be asked at the end of this step. */
    toAsk: Set<QuotaRow>;
    /** Number of the latest query. */
    sequence: number;
    /** Earliest time at which a waiting request or query has to be ended. */
    nextCheckMs: number;
    /** State that was logged last. */
    loggedShare: string;
}
