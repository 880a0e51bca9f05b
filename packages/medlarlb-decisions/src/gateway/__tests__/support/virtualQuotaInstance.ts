import type { createGatewayDecisions } from "../../createGatewayDecisions.js";
import type { GatewayInput } from "../../gatewayInput.js";
import type { createSettings } from "./createSettings.js";

/** An instance of a virtual quota group: its process, what it has read from the store, and its disturbances. */
export interface VirtualQuotaInstance {
    id: string;
    zone: number;
    settings: ReturnType<typeof createSettings>;
    decisions: ReturnType<typeof createGatewayDecisions>;
    inputs: GatewayInput[];
    isStepPlanned: boolean;
    startedAtMs: number;
    /** Time at which it ends, and until which it is paused. */
    endsAtMs: number;
    resumesAtMs: number;
    /** Until when it is cut off from the store and from the instances of other zones, and of all instances if it is alone. */
    cutUntilMs: number;
    isCutAlone: boolean;
    /** Until when it doesn't read the store. */
    storeCutUntilMs: number;
    isStopping: boolean;
    renewsAtMs: number;
    hasEntry: boolean;
    listed: readonly string[];
    told: string;
    /** Index of its configuration. */
    config: number;
    /** Messages and bytes that it sent about quotas. */
    messages: number;
    bytes: number;
}
