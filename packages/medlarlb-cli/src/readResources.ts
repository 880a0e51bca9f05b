import { readFileSync } from "node:fs";
import { Result } from "true-myth";
import { parseAllDocuments } from "yaml";
import type { CliError } from "./cliError.js";
import { exitCode } from "./exitCode.js";

/** One resource of a file that `medlarlb apply` reads. */
interface DeclaredResource {
    kind: string;
    name: string;
    spec: unknown;
    resourceVersion?: string;
}

const usageError = (message: string): Result<never, CliError> => Result.err({ code: exitCode.usage, message });

/** Reads the resources of a YAML or JSON file, in which each document is one resource or a list of resources. */
export const readResources = (path: string): Result<DeclaredResource[], CliError> => {
    let text: string;
    try {
        text = readFileSync(path, "utf8");
    }
    catch (err) {
        return usageError(`${path} can't be read (${(err as Error).message}); name a readable file with -f`);
    }
    const documents = parseAllDocuments(text);
    const found: DeclaredResource[] = [];
    for (const document of Array.isArray(documents) ? documents : []) {
        const syntaxError = document.errors[0];
        if (syntaxError !== undefined) {
            return usageError(`${path}: ${syntaxError.message}`);
        }
        const value = document.toJS() as DeclaredResource | DeclaredResource[];
        found.push(...(Array.isArray(value) ? value : [value]));
    }
    const invalid = found.find(each => typeof each?.kind !== "string" || typeof each.name !== "string");
    return invalid === undefined
        ? Result.ok(found)
        : usageError(`${path}: every resource needs a kind and a name, as in {kind: models, name: aurora, spec: {bytes: 1000}}`);
};
