import type { InstanceId } from "medlarlb-types/instanceId";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { Urgency } from "medlarlb-types/urgency";
import type { WorkspaceUse } from "medlarlb-types/workspaceUse";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { CallRow } from "../rows/callRow.js";
import type { DecayingSum } from "./decayingSum.js";
import type { Turn } from "./turn.js";

/** What an instance knows of the demand and use of all instances. */
export interface FairnessTable {
    /** Services whose requests differ in rank, by the configuration from which they were derived. */
    ranked: { config: RoutingConfig; services: ReadonlySet<string> } | undefined;
    /** Requests to plain services that arrived lately at this instance, or the work in ms of those to models, by pool and rank. */
    arrivals: Map<string, Map<number, DecayingSum>>;
    /** Latest report of each instance or hub, this instance's own included, by pool. */
    reports: Map<InstanceId, { zone: ZoneId; atMs: number; urgencies: Map<string, Urgency[]> }>;
    /** Latest time of a report of each instance or hub. */
    heardAtMs: Map<InstanceId, number>;
    /** What is left of this instance's share of the targets, in request-ms, by pool and rank. */
    credits: Map<string, { amountMs: number; atMs: number }>;
    /** Turns of waiting calls to plain services. */
    turns: WeakMap<CallRow, Turn>;
    /** Waiting calls that aren't refused any more before a target has been asked. */
    promised: WeakSet<CallRow>;
    /** Recent use at this instance, by service and workspace. */
    used: Map<string, Map<string, DecayingSum>>;
    /** Latest report of use by each other instance or hub. */
    usedElsewhere: Map<InstanceId, { zone: ZoneId; atMs: number; used: WorkspaceUse[] }>;
    /** Time of the latest status that reported the use. */
    usedSentAtMs: number;
    /** Level of recent use of a workspace, 0 for the least, by service and workspace. */
    levels: Map<string, Map<string, number>>;
    /** Latest time at which the demand for the targets of a pool was close to what they take, by pool. */
    contendedAtMs: Map<string, number>;
    /** Whether requests are limited to a share of the targets, by service and priority, as of the latest log line about it. */
    limited: Map<string, { isLimited: boolean; atMs: number }>;
}
