/** Lines of a stack trace that are logged, unless more are asked for. */
const DEFAULT_STACK_LINES = 6;

/** Describes an error for the log, by its reason and the first lines of its stack. Anything can be thrown. */
export const describeError = (err: unknown, maxStackLines = DEFAULT_STACK_LINES): { reason: string; stack: string[] | undefined } => ({
    reason: String(err),
    stack: err instanceof Error ? err.stack?.split("\n").slice(1, maxStackLines).map(line => line.trim()) : undefined,
});
