/** Finds the line of a key in an INI text, or of its section, or 1. */
export const findLine = (text: string, section: string, key: string): number => {
    let current = "";
    let sectionLine = 1;
    const lines = text.split("\n");
    for (const [index, line] of lines.entries()) {
        const header = /^\s*\[([^\]]+)\]/.exec(line);
        if (header) {
            current = header[1] ?? "";
            sectionLine = current === section ? index + 1 : sectionLine;
        }
        else if (current === section && line.split("=")[0]?.trim() === key) {
            return index + 1;
        }
    }
    return sectionLine;
};
