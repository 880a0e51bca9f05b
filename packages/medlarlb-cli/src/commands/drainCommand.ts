import type { Result } from "true-myth";
import type { CliError } from "../cliError.js";
import type { CommandContext } from "../commandContext.js";

/**
 * Marks a target as leaving, or undoes that. A leaving target gets no new work, and the minimum replicas that it holds are loaded on
 * other targets.
 */
export const drainCommand = async (context: CommandContext, name: string, undo: boolean): Promise<Result<void, CliError>> => {
    const target = await context.api.get("targets", name);
    return target.match<Promise<Result<void, CliError>>>({
        Ok: async ({ spec, resourceVersion }) =>
            (await context.api.put("targets", name, { ...spec, leaving: !undo }, resourceVersion))
                .map(() => context.print(undo ? `target ${name} takes work again` : `target ${name} is draining`)),
        Err: err => Promise.resolve(target.map(() => undefined).mapErr(() => err)),
    });
};
