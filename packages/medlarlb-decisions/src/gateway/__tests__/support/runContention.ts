import type { createVirtualContention } from "./createVirtualContention.js";
import type { VirtualContentionOutcome } from "./virtualContentionOutcome.js";

interface Flow {
    route: string;
    workspace?: string;
    perSecond: number;
    /** Draws the instance at which a request arrives. */
    drawInstance: (random: () => number) => number;
}

interface Measurement {
    /** Share of the places' time that was used. */
    usedRatio: number;
    of: (isCounted: (outcome: VirtualContentionOutcome) => boolean) => { requests: number; inTime: number; served: number };
    /** Requests that were refused after more than an eighth of their latency target without having been offered to a target. */
    heldThenRefused: number;
    /** The largest time for which a refused request that was never offered to a target was held, as a share of its latency target. */
    longestHeldRatio: number;
}

type Contention = ReturnType<typeof createVirtualContention>;

const MS_PER_SECOND = 1_000;
/** Time in ms until the outcomes of the last requests are known. */
const SETTLE_MS = 1_500;

const startFlow = (contention: Contention, flow: Flow, untilMs: number): void => {
    const { random, now, after, sendCall } = contention;
    const next = (): void => after(-Math.log(1 - random()) * MS_PER_SECOND / flow.perSecond, () => {
        if (now() < untilMs) {
            sendCall(flow.drawInstance(random), flow.route, flow.workspace);
            next();
        }
    });
    next();
};

/**
 * Sends flows of requests at random times, and measures those that arrive between `warmUpMs` and `durationMs`. `disturb` is called
 * at the start.
 */
export const runContention = (
    contention: Contention,
    flows: readonly Flow[],
    { warmUpMs, durationMs }: { warmUpMs: number; durationMs: number },
): Measurement => {
    const startMs = contention.now();
    flows.forEach(flow => startFlow(contention, flow, startMs + durationMs));
    contention.run(warmUpMs);
    const busyBeforeMs = contention.busyMs();
    contention.run(durationMs - warmUpMs);
    const busyMs = contention.busyMs() - busyBeforeMs;
    contention.run(SETTLE_MS);
    const places = contention.targets.reduce((sum, each) => sum + each.entry.slots, 0);
    const isMeasured = ({ arrivedAtMs }: VirtualContentionOutcome): boolean =>
        arrivedAtMs >= startMs + warmUpMs && arrivedAtMs < startMs + durationMs;
    const outcomes = contention.outcomes().filter(isMeasured);
    const heldRatios = outcomes.filter(each => each.status !== 200 && each.status !== 0 && each.attempts === 0)
        .map(each => each.tookMs / each.latencyTargetMs);
    return {
        usedRatio: busyMs / (places * (durationMs - warmUpMs)),
        of: isCounted => {
            const counted = outcomes.filter(isCounted);
            const served = counted.filter(each => each.status === 200);
            const inTime = served.filter(each => each.tookMs <= each.latencyTargetMs);
            return { requests: counted.length, inTime: inTime.length / counted.length, served: served.length / counted.length };
        },
        heldThenRefused: heldRatios.filter(each => each > 1 / 8).length,
        longestHeldRatio: Math.max(0, ...heldRatios),
    };
};
