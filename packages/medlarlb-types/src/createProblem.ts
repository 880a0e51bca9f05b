import type { Problem } from "./problem.js";

/** Creates a problem document whose type is a short stable name, such as `unknown-model`. */
export const createProblem = (
    name: string,
    status: number,
    detail: string,
    remedy: string,
    extra: Pick<Problem, "ran" | "retryAfterMs"> = {},
): Problem => ({
    type: `urn:medlarlb:problem:${name}`,
    title: name.replaceAll("-", " "),
    status,
    detail,
    remedy,
    ...extra,
});
