import type { DecisionSettings } from "./decisionSettings.js";

/** Default decision settings. The caller adds the identity and zone of the instance. */
export const defaultDecisionSettings: Omit<DecisionSettings, "instanceId" | "bootId" | "zone"> = {
    attainmentWeight: 1,
    moveWeight: 1,
    loadsPerSecond: 2.5,
    fullSpeedLoads: 3,
    maxQueueLength: 256,
    maxAttempts: 4,
    retryShare: 0.2,
    orderResendMs: 250,
    orderLingerMs: 10_000,
    targetSilentMs: 3_000,
    anchorRepairStepMs: 5_000,
    kvOutageGraceMs: 2_000,
    expectedLoadMs: 2_000,
    expectedServiceMs: 500,
    minResidenceMs: 15_000,
    amortizationMs: 30_000,
};
