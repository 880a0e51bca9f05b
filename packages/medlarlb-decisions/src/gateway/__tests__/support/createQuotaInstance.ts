import type { VirtualQuotaInstance } from "./virtualQuotaInstance.js";

type Identity = Pick<VirtualQuotaInstance, "id" | "zone" | "settings" | "decisions" | "startedAtMs" | "cutUntilMs" | "config">;

/** Creates an instance of a virtual quota group that has just started. */
export const createQuotaInstance = (identity: Identity): VirtualQuotaInstance => ({
    ...identity,
    inputs: [],
    isStepPlanned: false,
    endsAtMs: Number.POSITIVE_INFINITY,
    resumesAtMs: identity.startedAtMs,
    isCutAlone: false,
    storeCutUntilMs: identity.cutUntilMs,
    isStopping: false,
    renewsAtMs: identity.startedAtMs,
    hasEntry: false,
    listed: [],
    told: "",
    messages: 0,
    bytes: 0,
});
