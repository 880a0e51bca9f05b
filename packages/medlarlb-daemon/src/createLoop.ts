import type { DecisionCommand } from "medlarlb-types/decisionCommand";
import type { DecisionInput } from "medlarlb-types/decisionInput";

const TICK_MS = 20;

/**
 * Creates the loop that brings inputs to the decisions and carries their commands out. A step runs as soon as inputs
 * are there, and joins those that come together; without inputs it runs at each tick.
 */
export const createLoop = (
    step: (nowMs: number, inputs: DecisionInput[]) => DecisionCommand[],
    carryOut: (command: DecisionCommand) => void,
) => {
    let inputs: DecisionInput[] = [];
    let scheduled = false;

    const run = (): void => {
        scheduled = false;
        const batch = inputs;
        inputs = [];
        for (const command of step(Date.now(), batch)) {
            carryOut(command);
        }
    };

    const timer = setInterval(run, TICK_MS);
    return {
        push: (input: DecisionInput): void => {
            inputs.push(input);
            if (!scheduled) {
                scheduled = true;
                setImmediate(run);
            }
        },
        stop: (): void => clearInterval(timer),
    };
};
