import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import type { CallRow } from "../rows/callRow.js";

/** Weight of the newest answer in the learnt time per unit of work. */
const NEWEST_SHARE = 0.15;
/** Fewer tokens than this say too little of the pace. */
const MIN_SAMPLE_TOKENS = 300;
/** Time of an answer that doesn't depend on the prompt, in ms. */
const FIXED_MS = 15;
/** Bounds of the learnt time per prompt token, in ms, so that one odd answer doesn't spoil the prediction. */
const MIN_MS_PER_TOKEN = 0.01;
const MAX_MS_PER_TOKEN = 0.5;

const learn = (world: GatewayContext, row: CallRow, target: PoolTarget, sample: number): void => {
    target.msPerUnit += NEWEST_SHARE * (sample - target.msPerUnit);
    const { service } = row.metadata;
    const shared = world.serviceMsPerUnit.get(service) ?? target.msPerUnit;
    world.serviceMsPerUnit.set(service, shared + NEWEST_SHARE * (sample - shared) / 4);
};

/** Takes in that an answer has begun, and learns the pace of its target from it. */
export const applyBegun = (world: GatewayContext, input: Extract<GatewayInput, { kind: "begun" }>): void => {
    const row = world.calls.get(input.callId);
    const flight = row?.currentAttempt;
    if (row === undefined || flight === undefined || flight.attempt !== input.attempt) {
        return;
    }
    const target = world.targets.get(flight.targetId);
    row.delivered = row.metadata.route.kind === "streaming";
    flight.begunAtMs = world.nowMs;
    if (target === undefined) {
        return;
    }
    target.lastSeenAtMs = world.nowMs;
    target.silentFailures = 0;
    const tookMs = world.nowMs - flight.sentAtMs;
    const tokens = flight.aheadTokens + flight.workTokens;
    if (row.metadata.model !== undefined && tokens >= MIN_SAMPLE_TOKENS) {
        learn(world, row, target, Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, (tookMs - FIXED_MS) / tokens)));
    }
};
