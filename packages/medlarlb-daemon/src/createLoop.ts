const TICK_INTERVAL_MS = 20;

/**
 * Creates the loop that brings inputs to the decisions and carries their commands out. A step runs as soon as inputs
 * are there, and joins those that come together; without inputs it runs at each tick.
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
