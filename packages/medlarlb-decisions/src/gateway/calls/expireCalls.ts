import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { answerCall } from "./answerCall.js";
import { retryCall } from "./retryCall.js";

/** Share of the time of a repeatable request after which an attempt without any answer is given up. */
const SILENT_SHARE = 0.4;
/** Shortest time in ms that an attempt is given to answer. */
const SILENT_MIN_MS = 250;

const isSilent = (world: GatewayContext, row: CallRow): boolean => {
    const { currentAttempt: flight, metadata: facts } = row;
    const repeatable = facts.route.kind === "safe" || facts.route.resumable;
    if (flight === undefined || flight.begunAtMs !== undefined || !repeatable || row.ranOn + 1 >= facts.route.maxAttempts) {
        return false;
    }
    const limitMs = Math.max(SILENT_MIN_MS, SILENT_SHARE * (facts.deadlineAtMs - facts.arrivedAtMs), flight.predictedMs * 3);
    return world.nowMs - flight.sentAtMs > limitMs;
};

/** Ends calls whose time is over, and tries repeatable ones elsewhere whose target says nothing. */
export const expireCalls = (world: GatewayContext): void => {
    for (const row of [...world.calls.values()]) {
        if (row.currentAttempt === undefined && world.nowMs >= row.metadata.firstEventDeadlineAtMs) {
            answerCall(world, row, "no target took it in time");
        }
        else if (world.nowMs >= row.metadata.deadlineAtMs) {
            row.mayHaveRun ||= row.currentAttempt !== undefined;
            if (row.currentAttempt !== undefined) {
                world.commands.push({ kind: "abort", callId: row.metadata.callId, attempt: row.currentAttempt.attempt });
            }
            answerCall(world, row, "the time of the request is over");
        }
        else if (isSilent(world, row)) {
            const attempt = row.currentAttempt?.attempt ?? 0;
            world.commands.push({ kind: "abort", callId: row.metadata.callId, attempt });
            retryCall(world, row, { ran: "unknown", cause: "silent", reason: "no answer came in time" });
        }
    }
};
