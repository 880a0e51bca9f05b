const EVENT_LINE = /^(?:(?:data|event|id|retry)(?::|$)|:|$)/;

/** Returns whether a line of an event stream, without its end, is a field, a comment or blank. */
export const isEventLine = (line: string): boolean => EVENT_LINE.test(line);
