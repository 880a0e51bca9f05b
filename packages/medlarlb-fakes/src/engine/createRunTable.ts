import { setTimeout as sleep } from "node:timers/promises";

/** The execution of a request on the engine. */
interface Run {
    requestId: string;
    tokens: string[];
    /** Number of tokens that are produced so far. */
    produced: number;
    finished: boolean;
    cancelled: boolean;
    listeners: Set<() => void>;
}

/** Creates the table of runs of an engine stand-in. A run continues after its connection closes, until it finishes or is cancelled. */
export const createRunTable = (slots: number, tokenMs: number) => {
    const runs = new Map<string, Run>();
    const executions = new Map<string, number>();
    const slotQueue: (() => void)[] = [];
    let active = 0;

    const acquireSlot = async (): Promise<void> => {
        if (active >= slots) {
            await new Promise<void>(resolve => slotQueue.push(resolve));
        }
        active += 1;
    };

    const releaseSlot = (): void => {
        active -= 1;
        slotQueue.shift()?.();
    };

    const notify = (run: Run): void => {
        for (const listener of [...run.listeners]) {
            listener();
        }
    };

    /** Waits for a slot, then produces the tokens of a run one by one. */
    const produce = async (run: Run): Promise<void> => {
        await acquireSlot();
        while (run.produced < run.tokens.length && !run.cancelled) {
            if (tokenMs > 0) {
                await sleep(tokenMs);
            }
            run.produced += 1;
            notify(run);
        }
        run.finished = true;
        releaseSlot();
        notify(run);
    };

    return {
        start: (requestId: string, tokens: string[], onEnd: () => void): Run => {
            const run: Run = { requestId, tokens, produced: 0, finished: false, cancelled: false, listeners: new Set() };
            runs.set(requestId, run);
            executions.set(requestId, (executions.get(requestId) ?? 0) + 1);
            produce(run).then(onEnd, onEnd);
            return run;
        },
        find: (requestId: string): Run | undefined => runs.get(requestId),
        cancel: (requestId: string): void => {
            const run = runs.get(requestId);
            if (run !== undefined) {
                run.cancelled = true;
            }
        },
        /**
         * Calls `onToken` for each token from index `from` on as it is produced, then `onEnd` when the run finishes or is cancelled.
         * Returns a function that ends the subscription.
         */
        follow: (run: Run, from: number, onToken: (index: number, token: string) => void, onEnd: (complete: boolean) => void) => {
            let next = from;
            const advance = (): void => {
                while (next < run.produced) {
                    onToken(next, run.tokens[next] ?? "");
                    next += 1;
                }
                if (run.finished) {
                    run.listeners.delete(advance);
                    onEnd(!run.cancelled);
                }
            };
            run.listeners.add(advance);
            advance();
            return () => run.listeners.delete(advance);
        },
        /** Returns the numbers of running and queued requests, for a report. */
        load: () => ({ inFlight: active, queued: slotQueue.length }),
        executions,
    };
};
