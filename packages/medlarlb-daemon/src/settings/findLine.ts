/** Returns the line number of a key in an INI text, or that of its section, or 1 if neither is there. */
export const findLine = (text: string, section: string, key: string): number => {
    let currentSection = "";
    let sectionLine = 1;
    const lines = text.split("\n");
    for (const [index, line] of lines.entries()) {
        const header = /^\s*\[([^\]]+)\]/.exec(line);
        if (header) {
            currentSection = header[1] ?? "";
            sectionLine = currentSection === section ? index + 1 : sectionLine;
        }
        else if (currentSection === section && line.split("=")[0]?.trim() === key) {
            return index + 1;
        }
    }
    return sectionLine;
};
