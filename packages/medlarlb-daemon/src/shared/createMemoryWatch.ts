import { describeMemory } from "./describeMemory.js";

/** Growth, as a part of the memory that was logged last, from which it is logged again. */
const LOGGED_GROWTH_RATIO = 0.125;

/** Creates a check that logs the memory of this process whenever it has grown, so that the log of one that was killed tells of it. */
export const createMemoryWatch = (logEvent: (event: string, fields: Record<string, unknown>) => void): (() => void) => {
    let loggedMb = 0;
    return (): void => {
        const memory = describeMemory();
        if (memory.residentMb >= loggedMb * (1 + LOGGED_GROWTH_RATIO)) {
            loggedMb = memory.residentMb;
            logEvent("memory", memory);
        }
    };
};
