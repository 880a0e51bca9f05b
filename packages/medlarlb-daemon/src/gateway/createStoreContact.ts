import type { createStoreOutages } from "medlarlb-decisions/gateway/directory/createStoreOutages";
import type { DirectoryHandlers } from "./directoryHandlers.js";

interface ContactOptions {
    now: () => number;
    outages: ReturnType<typeof createStoreOutages>;
    onChange: DirectoryHandlers["onReachabilityChange"];
}

/** Number of consecutive failed calls from which the store counts as unreachable. */
const UNREACHABLE_FAILURES = 2;

/** Creates the record of whether the store answers the calls of this instance. */
export const createStoreContact = ({ now, outages, onChange }: ContactOptions) => {
    let consecutiveFailures = 0;
    const isUnreachable = (): boolean => consecutiveFailures >= UNREACHABLE_FAILURES;
    return {
        isUnreachable,
        /** Whether the store has answered the latest call. */
        isAnswering: (): boolean => consecutiveFailures === 0,
        /** Counts a failed call, and returns false. */
        recordFailure: (reason: string): false => {
            consecutiveFailures += 1;
            if (consecutiveFailures === UNREACHABLE_FAILURES) {
                onChange(false, reason);
            }
            return false;
        },
        recordSuccess: (): void => {
            if (isUnreachable()) {
                outages.recordEnd(now());
                onChange(true, "the store answers again");
            }
            consecutiveFailures = 0;
        },
    };
};
