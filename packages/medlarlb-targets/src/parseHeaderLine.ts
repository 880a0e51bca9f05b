const NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Control characters, which no header may have, make a response malformed: a message can't be written with them again. */
const VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

const isBlank = (character: string | undefined): boolean => character === " " || character === "\t";

/**
 * Parses a header line (RFC 9112, 5) into its name and its value without the spaces around it; undefined if it is malformed. The
 * time that it takes is in proportion to the line's length, whatever the line consists of.
 */
export const parseHeaderLine = (line: string): { name: string; value: string } | undefined => {
    const colon = line.indexOf(":");
    const name = line.slice(0, Math.max(0, colon));
    let start = colon + 1;
    let end = line.length;
    while (start < end && isBlank(line[start])) {
        start += 1;
    }
    while (end > start && isBlank(line[end - 1])) {
        end -= 1;
    }
    const value = line.slice(start, end);
    return NAME.test(name) && VALUE.test(value) ? { name, value } : undefined;
};
