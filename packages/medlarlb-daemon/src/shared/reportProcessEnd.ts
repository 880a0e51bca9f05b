import { performance } from "node:perf_hooks";
import { describeError } from "medlarlb-types/describeError";
import type { createLog } from "../gateway/createLog.js";
import { describeMemory } from "./describeMemory.js";

/** Lines of a stack trace that are logged. */
const MAX_STACK_LINES = 12;

/**
 * Has the log tell why and with what status this process ends, after all lines that wait. An error that nothing catches still ends
 * the process. An end by a signal, or by the runtime for lack of memory, can't be logged.
 */
export const reportProcessEnd = (log: ReturnType<typeof createLog>): void => {
    process.on("uncaughtExceptionMonitor", (err: unknown, origin) => {
        log.writeFatal("crashed", { ...describeError(err, MAX_STACK_LINES), origin });
    });
    process.on("exit", status => {
        log.write("exited", { status, uptimeMs: Math.round(performance.now()), ...describeMemory() });
        log.close();
    });
};
