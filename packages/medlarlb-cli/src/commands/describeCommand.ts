import type { Result } from "true-myth";
import { stringify } from "yaml";
import type { CliError } from "../cliError.js";
import type { CommandContext } from "../commandContext.js";

/** Prints one resource with all its fields, as YAML or JSON. */
export const describeCommand = async (context: CommandContext, kind: string, name: string): Promise<Result<void, CliError>> =>
    (await context.api.get(kind, name)).map(item => {
        context.print(context.json ? JSON.stringify(item, undefined, 2) : stringify(item).trimEnd());
    });
