import type { InstanceId } from "medlarlb-types/instanceId";
import type { WorkspaceQuota } from "medlarlb-types/workspaceQuota";
import type { CallRow } from "../rows/callRow.js";
import type { QuotaBounds } from "./quotaBounds.js";
import type { RecentUse } from "./recentUse.js";

/** Tokens that may be used up to a time. */
interface HeldTokens {
    tokens: number;
    untilMs: number;
}

/** A query of an instance that its hub hasn't answered yet, because it has asked the other hubs or will soon have the tokens. */
interface OpenWant {
    from: InstanceId;
    sequence: number;
    needed: number;
    wished: number;
    /** Time at which it is refused. */
    untilMs: number;
}

/** What this instance knows and holds of a workspace's quota. */
export interface QuotaRow {
    workspace: string;
    quota: WorkspaceQuota;
    bounds: QuotaBounds;
    /** Cost of the largest recent request, and until when storage for it is kept. */
    largestCost: number;
    largestUntilMs: number;
    /** As a hub: stored tokens, and the value of the table's `creditedMs` up to which they have accrued. */
    pool: number;
    creditedMs: number;
    /** Tokens from other hubs beyond what the pool may hold. */
    borrowed: HeldTokens[];
    /** Use by the instances of this zone. */
    zoneUse: RecentUse;
    /** Tokens that other hubs have granted to this one. */
    gained: RecentUse;
    /** Tokens of refused requests, which may come back, as of a time. */
    refused: { tokens: number; atMs: number };
    openWants: OpenWant[];
    /** Latest time at which each other hub answered. */
    answeredAtMs: Map<InstanceId, number>;
    /** Latest query to the other hubs: those that haven't answered yet, and the tokens that the others have granted. */
    hubQuery: { sequence: number; askedAtMs: number; unanswered: Set<InstanceId>; gained: number } | undefined;
    /** As an instance: granted tokens, and the latest query to the hub. */
    held: HeldTokens[];
    query: { sequence: number; askedAtMs: number; firstAskedAtMs: number } | undefined;
    /** Use by the callers of this instance. */
    use: RecentUse;
    /** Requests that wait for tokens, in the order of their arrival. */
    waiting: { call: CallRow; sinceMs: number; untilMs: number }[];
    /** Cost of a request whose charge has expired while it waited for a target, or 0. */
    wantedAgain: number;
    /** Time at which the quota allows a request again, and before which the hub isn't asked. */
    allowedAtMs: number;
    askAgainAtMs: number;
    /** Time of the latest line in the log about refused requests. */
    loggedAtMs: number;
}
