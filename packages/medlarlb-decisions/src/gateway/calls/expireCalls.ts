import { brandAs } from "medlarlb-types/brandAs";
import type { TargetId } from "medlarlb-types/targetId";
import { noteOutcome } from "../inputs/noteOutcome.js";
import type { CallRow } from "../rows/callRow.js";
import type { GatewayWorld } from "../gatewayWorld.js";
import { answerCall } from "./answerCall.js";
import { continueCall } from "./continueCall.js";
import { retryCall } from "./retryCall.js";

/** Share of the time of a repeatable request after which an attempt without any answer is given up. */
const SILENT_SHARE = 0.4;
/** Time in ms without an event after which a stream goes on elsewhere, before callers leave it. */
const STALLED_MS = 1_200;
/** Shortest time in ms that an attempt is given to answer. */
const SILENT_MIN_MS = 250;

const isSilent = (world: GatewayWorld, row: CallRow): boolean => {
    const { flight, facts } = row;
    const repeatable = facts.route.kind === "safe" || facts.route.resumable;
    if (flight === undefined || flight.begunAtMs !== undefined || !repeatable || row.ranOn + 1 >= facts.route.maxAttempts) {
        return false;
    }
    const limitMs = Math.max(SILENT_MIN_MS, SILENT_SHARE * (facts.deadlineAtMs - facts.arrivedAtMs), flight.predictedMs * 3);
    return world.nowMs - flight.sentAtMs > limitMs;
};

/** Tells whether a stream that has begun stands still, and neither has its engine answered anything else meanwhile. */
const isStalled = (world: GatewayWorld, row: CallRow): boolean => {
    const { flight } = row;
    if (flight?.begunAtMs === undefined || flight.copyTargetId === undefined) {
        return false;
    }
    const heardMs = world.targets.get(flight.targetId)?.lastHeardMs ?? 0;
    return world.nowMs - Math.max(flight.lastByteMs, heardMs) > STALLED_MS;
};

/** Ends calls whose time is over, and tries repeatable ones elsewhere whose target says nothing. */
export const expireCalls = (world: GatewayWorld): void => {
    for (const row of [...world.calls.values()]) {
        if (row.flight === undefined && world.nowMs >= row.facts.startByMs) {
            answerCall(world, row, "no target took it in time");
        }
        else if (world.nowMs >= row.facts.deadlineAtMs) {
            row.mayHaveRun ||= row.flight !== undefined;
            if (row.flight !== undefined) {
                world.commands.push({ kind: "abort", callId: row.facts.callId, attempt: row.flight.attempt });
            }
            answerCall(world, row, "the time of the request is over");
        }
        else if (isStalled(world, row)) {
            const attempt = row.flight?.attempt ?? 0;
            const target = world.targets.get(row.flight?.targetId ?? brandAs<TargetId>(""));
            if (continueCall(world, row, "the stream stands still")) {
                world.commands.unshift({ kind: "abort", callId: row.facts.callId, attempt });
                if (target !== undefined) {
                    noteOutcome(target, true, world.nowMs);
                }
            }
        }
        else if (isSilent(world, row)) {
            const attempt = row.flight?.attempt ?? 0;
            world.commands.push({ kind: "abort", callId: row.facts.callId, attempt });
            retryCall(world, row, { ran: "unknown", cause: "silent", reason: "no answer came in time" });
        }
    }
};
