import type { Result } from "true-myth";
import { stringify } from "yaml";
import type { CliError } from "../cliError.js";
import type { CommandContext } from "../commandContext.js";

/** Prints the state of the first daemon that responds. */
export const statusCommand = async (context: CommandContext): Promise<Result<void, CliError>> =>
    (await context.api.status()).map(status => {
        context.print(context.json ? JSON.stringify(status, undefined, 2) : stringify(status).trimEnd());
    });
