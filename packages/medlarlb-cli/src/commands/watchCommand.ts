import type { Result } from "true-myth";
import type { CliError } from "../cliError.js";
import type { CommandContext } from "../commandContext.js";
import { formatDecision } from "../output/formatDecision.js";
import { summarizeStatus } from "../output/summarizeStatus.js";

/** Prints the changes of a kind as they happen, starting after version `from`. Stops after `limit` lines unless `limit` is 0. */
export const watchCommand = (context: CommandContext, kind: string, from: string, limit: number): Promise<Result<void, CliError>> => {
    let printed = 0;
    return context.api.watch(kind, from, line => {
        if (context.json) {
            context.print(JSON.stringify(line));
        }
        else if (kind === "decisions" && line.type !== "ERROR") {
            context.print(formatDecision(line.object));
        }
        else {
            context.print(`${line.type} ${line.object.name ?? ""} ${summarizeStatus(line.object)}`.trimEnd());
        }
        printed += 1;
        return limit === 0 || printed < limit;
    });
};
