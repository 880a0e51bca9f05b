const TICK_INTERVAL_MS = 20;
const MIN_DELAY_MS = 1;

/**
 * Creates the event loop that passes inputs to the decisions and executes the commands that they return. A step runs soon
 * after an input arrives and handles all inputs that are queued by then. It also runs by the time that `nextStepAtMs` returns,
 * which is each tick by default.
 */
export const createLoop = <Input, Command>(
    step: (nowMs: number, inputs: Input[]) => Command[],
    execute: (command: Command) => void,
    now: () => number = Date.now,
    nextStepAtMs: () => number = () => now() + TICK_INTERVAL_MS,
) => {
    let inputs: Input[] = [];
    let scheduled = false;
    let stopped = false;
    let timer: NodeJS.Timeout | undefined;
    let timerAtMs = Number.POSITIVE_INFINITY;

    const run = (): void => {
        scheduled = false;
        const batch = inputs;
        inputs = [];
        for (const command of step(now(), batch)) {
            execute(command);
        }
        armTimer();
    };

    /** Sets the timer for the next step, unless it is set for an earlier time already. */
    const armTimer = (): void => {
        const atMs = nextStepAtMs();
        if (stopped || atMs >= timerAtMs) {
            return;
        }
        clearTimeout(timer);
        timerAtMs = atMs;
        timer = setTimeout(() => {
            timerAtMs = Number.POSITIVE_INFINITY;
            run();
        }, Math.max(MIN_DELAY_MS, atMs - now()));
    };

    armTimer();
    return {
        push: (input: Input): void => {
            inputs.push(input);
            if (!scheduled) {
                scheduled = true;
                setImmediate(run);
            }
        },
        /** Queues an input that needs no step of its own: the next step handles it. */
        note: (input: Input): void => void inputs.push(input),
        stop: (): void => {
            stopped = true;
            clearTimeout(timer);
        },
    };
};
