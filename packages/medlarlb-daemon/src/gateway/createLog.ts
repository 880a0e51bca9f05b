import { writeSync } from "node:fs";
import { pino } from "pino";

/** Number of bytes that are written together, so that not every line costs a system call. */
const WRITE_BATCH_BYTES = 4_096;
/** Largest number of bytes that wait for a stalled reader. Further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Longest time in ms that a line waits to be written with others. */
const FLUSH_INTERVAL_MS = 250;
const STDOUT_FD = 1;
/** Times that the last lines are tried at a pipe that is full, 0.1 s apart. */
const MAX_LAST_TRIES = 5;

/** Creates the log of an instance, which writes one line of JSON per event to standard output and never blocks. */
export const createLog = (instance: string, countDropped: () => void) => {
    let triesLeft = Number.POSITIVE_INFINITY;
    const output = pino.destination({
        fd: STDOUT_FD,
        sync: false,
        minLength: WRITE_BATCH_BYTES,
        maxLength: MAX_BUFFERED_BYTES,
        retryEAGAIN: () => {
            triesLeft -= 1;
            return triesLeft > 0;
        },
    });
    output.on("drop", countDropped);
    // Without a listener, an error such as a full disk would end the process. What couldn't be written waits for the next flush.
    output.removeAllListeners("error").on("error", countDropped);
    const flushAll = output.flushSync.bind(output);
    /** Whether lines may wait that were not written yet. */
    let hasLines = false;
    /** Writes all lines that wait, unless standard output takes none. */
    output.flushSync = (): void => {
        if (!hasLines) {
            return;
        }
        hasLines = false;
        triesLeft = MAX_LAST_TRIES;
        try {
            // The library tries for ever at an error such as a broken pipe, which a space, that JSON allows between lines, reveals.
            writeSync(STDOUT_FD, " ");
            flushAll();
        }
        catch {
            // The log is the only place to report that nobody reads it.
            countDropped();
        }
        triesLeft = Number.POSITIVE_INFINITY;
    };
    const logger = pino({ base: { instance }, formatters: { level: label => ({ level: label }) } }, output);
    let timer: NodeJS.Timeout | undefined;
    const flush = (): void => {
        timer = undefined;
        output.flush();
    };
    return {
        write: (event: string, fields: Record<string, unknown>): void => {
            hasLines = true;
            logger.info({ event, ...fields });
            timer ??= setTimeout(flush, FLUSH_INTERVAL_MS).unref();
        },
        writeFatal: (event: string, fields: Record<string, unknown>): void => {
            hasLines = true;
            logger.fatal({ event, ...fields });
        },
        /** Writes all lines that wait. */
        close: (): void => {
            clearTimeout(timer);
            output.flushSync();
        },
    };
};
