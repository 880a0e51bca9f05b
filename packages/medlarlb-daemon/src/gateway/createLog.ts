import { pino } from "pino";

/** Number of bytes that are written together, so that not every line costs a system call. */
const WRITE_BATCH_BYTES = 4_096;
/** Largest number of bytes that wait for a stalled reader. Further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Longest time in ms that a line waits to be written with others. */
const FLUSH_INTERVAL_MS = 250;
const STDOUT_FD = 1;

/** Creates the log of an instance, which writes one line of JSON per event to standard output and never blocks. */
export const createLog = (instance: string, countDropped: () => void) => {
    const output = pino.destination({ fd: STDOUT_FD, sync: false, minLength: WRITE_BATCH_BYTES, maxLength: MAX_BUFFERED_BYTES });
    output.on("drop", countDropped);
    const logger = pino({ base: { instance }, formatters: { level: label => ({ level: label }) } }, output);
    let timer: NodeJS.Timeout | undefined;
    const flush = (): void => {
        timer = undefined;
        output.flush();
    };
    return {
        write: (event: string, fields: Record<string, unknown>): void => {
            logger.info({ event, ...fields });
            timer ??= setTimeout(flush, FLUSH_INTERVAL_MS).unref();
        },
        writeFatal: (event: string, fields: Record<string, unknown>): void => logger.fatal({ event, ...fields }),
        /** Writes all lines that wait. */
        close: (): void => {
            clearTimeout(timer);
            output.flushSync();
        },
    };
};
