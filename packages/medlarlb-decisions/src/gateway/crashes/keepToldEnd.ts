import type { CrashEvidence } from "medlarlb-types/crashEvidence";
import type { GatewayContext } from "../gatewayContext.js";
import { TOLD_ENDS_MS } from "./toldEndsMs.js";

/** Largest number of reports that are kept, more than targets end in the time. */
const MAX_TOLD_ENDS = 16;

/** Keeps what others have been told of the end of a target, for instances that they don't know yet. */
export const keepToldEnd = ({ crashes, nowMs }: GatewayContext, evidence: CrashEvidence[]): void => {
    const recent = crashes.toldEnds.filter(each => nowMs - each.atMs < TOLD_ENDS_MS);
    crashes.toldEnds = [...recent, { atMs: nowMs, evidence }].slice(-MAX_TOLD_ENDS);
};
