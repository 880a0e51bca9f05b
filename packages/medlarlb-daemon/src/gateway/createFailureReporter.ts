import { describeError } from "medlarlb-types/describeError";

/** Creates the function that logs errors which cost one item of a kind, such as a request or an entry, and not the process. */
export const createFailureReporter = (logEvent: (event: string, fields: Record<string, unknown>) => void) =>
    (item: string) => (kind: string, err: unknown, fields: Record<string, unknown> = {}): void =>
        logEvent("itemFailed", { item, kind, ...fields, ...describeError(err) });
