import Table from "cli-table3";

/** Characters that cli-table3 draws a table with: two spaces between columns, and no lines. */
const plainChars = {
    "top": "",
    "top-mid": "",
    "top-left": "",
    "top-right": "",
    "bottom": "",
    "bottom-mid": "",
    "bottom-left": "",
    "bottom-right": "",
    "left": "",
    "left-mid": "",
    "mid": "",
    "mid-mid": "",
    "right": "",
    "right-mid": "",
    "middle": "  ",
};

/** Formats rows as a table without borders or trailing spaces. */
export const formatTable = (head: string[], rows: string[][]): string => {
    const table = new Table({ head, chars: plainChars, style: { "head": [], "border": [], "padding-left": 0, "padding-right": 0 } });
    table.push(...rows);
    return table.toString().split("\n").map(line => line.trimEnd()).join("\n");
};
