import { createLog } from "../../gateway/createLog.js";
import { reportProcessEnd } from "../../shared/reportProcessEnd.js";

// A process that logs a line and ends at once, in the way that its argument names.
const ends: Record<string, () => unknown> = {
    thrown: () => setTimeout(() => {
        throw new RangeError("nothing catches this");
    }),
    rejected: () => void Promise.reject(new TypeError("nobody waits for this")),
    /** Ends a while after it has logged, so that a line is written before. */
    late: () => setTimeout(() => {
        log.write("late", {});
        process.exit(4);
    }, 600),
    exit: () => process.exit(4),
    nothingLeft: () => undefined,
};

const log = createLog("10.0.0.1:7080", () => undefined);
reportProcessEnd(log);
log.write("lastLine", {});
ends[process.argv[2] ?? ""]?.();
