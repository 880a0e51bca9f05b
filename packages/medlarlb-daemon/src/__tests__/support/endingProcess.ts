import { createLog } from "../../gateway/createLog.js";
import { reportProcessEnd } from "../../shared/reportProcessEnd.js";

const FLOOD_LINES = 5_000;
const FLOOD_LINE_BYTES = 500;

// A process that logs a line and ends at once, in the way that its argument names.
const ends: Record<string, () => unknown> = {
    thrown: () => setTimeout(() => {
        throw new RangeError("nothing catches this");
    }),
    rejected: () => void Promise.reject(new TypeError("nobody waits for this")),
    /** Logs more than a pipe and the log itself hold, and ends. */
    flooded: () => {
        for (let line = 0; line < FLOOD_LINES; line += 1) {
            log.write("flood", { text: "x".repeat(FLOOD_LINE_BYTES) });
        }
        setTimeout(() => process.exit(4), 600);
    },
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
