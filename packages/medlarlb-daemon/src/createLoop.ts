const TICK_INTERVAL_MS = 20;

/**
 * Creates the event loop that passes inputs to the decisions and executes the commands that they return. A step runs soon
 * after an input arrives and handles all inputs that are queued by then. It also runs at each tick, with or without inputs.
 */
export const createLoop = <Input, Command>(
    step: (nowMs: number, inputs: Input[]) => Command[],
    execute: (command: Command) => void,
    now: () => number = Date.now,
) => {
    let inputs: Input[] = [];
    let scheduled = false;

    const run = (): void => {
        scheduled = false;
        const batch = inputs;
        inputs = [];
        for (const command of step(now(), batch)) {
            execute(command);
        }
    };

    const timer = setInterval(run, TICK_INTERVAL_MS);
    return {
        push: (input: Input): void => {
            inputs.push(input);
            if (!scheduled) {
                scheduled = true;
                setImmediate(run);
            }
        },
        stop: (): void => clearInterval(timer),
    };
};
