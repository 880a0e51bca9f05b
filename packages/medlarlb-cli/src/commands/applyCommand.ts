import { Result } from "true-myth";
import type { CliError } from "../cliError.js";
import type { CommandContext } from "../commandContext.js";
import { readResources } from "../readResources.js";

/** Declares the resources of a file in order, and stops at the first one that the daemon doesn't accept. */
export const applyCommand = async (context: CommandContext, path: string): Promise<Result<void, CliError>> => {
    const resources = readResources(path);
    if (resources.isErr) {
        return Result.err(resources.error);
    }
    for (const { kind, name, spec, resourceVersion } of resources.value) {
        const applied = await context.api.put(kind, name, spec, resourceVersion);
        if (applied.isErr) {
            return Result.err({ ...applied.error, message: `${kind}/${name}: ${applied.error.message}` });
        }
        context.print(`${kind}/${name} applied at version ${applied.value.resourceVersion}`);
    }
    return Result.ok(undefined);
};
