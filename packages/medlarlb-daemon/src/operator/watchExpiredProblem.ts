import { createProblem } from "medlarlb-types/createProblem";

/** Answer to a watch from a resource version whose later changes are no longer all stored. */
export const watchExpiredProblem = createProblem(
    "gone",
    410,
    "the changes since this resource version are no longer kept",
    "list again and watch from the resourceVersion of the list",
);
