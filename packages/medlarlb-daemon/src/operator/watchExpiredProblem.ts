import { createProblem } from "medlarlb-types/createProblem";

/** The answer to a watch that asks for changes older than the history. */
export const watchExpiredProblem = createProblem(
    "gone",
    410,
    "the changes since this resource version are no longer kept",
    "list again and watch from the resourceVersion of the list",
);
