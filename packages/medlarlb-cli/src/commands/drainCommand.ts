import type { Result } from "true-myth";
import type { CliError } from "../cliError.js";
import type { CommandContext } from "../commandContext.js";

/** Marks a target as leaving, or takes that back. It gets no new work, and its floors move elsewhere. */
export const drainCommand = async (context: CommandContext, name: string, undo: boolean): Promise<Result<void, CliError>> => {
    const target = await context.api.get("targets", name);
    return target.match<Promise<Result<void, CliError>>>({
        Ok: async ({ spec, resourceVersion }) =>
            (await context.api.put("targets", name, { ...spec, leaving: !undo }, resourceVersion))
                .map(() => context.print(undo ? `target ${name} takes work again` : `target ${name} is draining`)),
        Err: err => Promise.resolve(target.map(() => undefined).mapErr(() => err)),
    });
};
