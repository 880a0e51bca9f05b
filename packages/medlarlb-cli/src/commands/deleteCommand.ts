import type { Result } from "true-myth";
import type { CliError } from "../cliError.js";
import type { CommandContext } from "../commandContext.js";

/** Deletes a resource and prints a confirmation. */
export const deleteCommand = async (context: CommandContext, kind: string, name: string): Promise<Result<void, CliError>> =>
    (await context.api.remove(kind, name)).map(() => context.print(`${kind}/${name} deleted`));
