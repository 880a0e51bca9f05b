import { performance } from "node:perf_hooks";
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
        const stack = err instanceof Error ? err.stack?.split("\n").slice(1, MAX_STACK_LINES).map(line => line.trim()) : undefined;
        log.writeFatal("crashed", { reason: String(err), origin, stack });
    });
    process.on("exit", status => {
        log.write("exited", { status, uptimeMs: Math.round(performance.now()), ...describeMemory() });
        log.close();
    });
};
