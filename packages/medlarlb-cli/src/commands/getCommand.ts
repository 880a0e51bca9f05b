import type { Result } from "true-myth";
import type { CliError } from "../cliError.js";
import type { CommandContext } from "../commandContext.js";
import { formatDecision } from "../output/formatDecision.js";
import { formatTable } from "../output/formatTable.js";
import { summarizeStatus } from "../output/summarizeStatus.js";

/** Prints the resources of a kind, or one of them by its name. */
export const getCommand = async (context: CommandContext, kind: string, name: string | undefined): Promise<Result<void, CliError>> => {
    const resources = name === undefined
        ? (await context.api.list(kind)).map(list => list.items)
        : (await context.api.get(kind, name)).map(item => [item]);
    return resources.map(items => {
        if (context.json) {
            context.print(JSON.stringify(name === undefined ? items : items[0], undefined, 2));
        }
        else if (kind === "decisions") {
            items.forEach(item => context.print(formatDecision(item)));
        }
        else {
            context.print(formatTable(["NAME", "VERSION", "STATUS"], items.map(item => [item.name, item.resourceVersion, summarizeStatus(item)])));
        }
    });
};
