import type { createGatewayContext } from "../../createGatewayContext.js";

/** An instance of a virtual retry group: its tables, what it has read from the store, and its disturbances. */
export interface VirtualRetryInstance {
    id: string;
    zone: number;
    context: ReturnType<typeof createGatewayContext>;
    startedAtMs: number;
    /** Time of its first step after a pause, or of its next one. */
    resumesAtMs: number;
    /** Time at which it ends. Before that, an instance that stops as planned serves open requests without an entry in the store. */
    endsAtMs: number;
    isUnlisted: boolean;
    /** Whether it knows the operator's configuration, without which it refuses all requests. */
    hasConfig: boolean;
    /** Version of the store's list that it has read last. */
    readVersion: number | undefined;
    listed: readonly string[];
    /** Members that it was told of last, as text. */
    toldMembers: string;
    renewsAtMs: number;
    /** Until when it is cut off from the store and from the instances outside of its zone. */
    storeCutUntilMs: number;
    peersCutUntilMs: number;
}
