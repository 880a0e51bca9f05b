import type { DecisionCommand } from "medlarlb-types/decisionCommand";

type Handlers = { [Kind in DecisionCommand["kind"]]: (command: Extract<DecisionCommand, { kind: Kind }>) => void };

/** Creates the function that passes each command of the decisions to the handler for its kind. */
export const createCommandDispatcher = (handlers: Handlers) => (command: DecisionCommand): void => {
    const handler = handlers[command.kind] as (command: DecisionCommand) => void;
    handler(command);
};
