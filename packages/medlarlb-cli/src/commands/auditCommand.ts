import type { Result } from "true-myth";
import type { CliError } from "../cliError.js";
import type { CommandContext } from "../commandContext.js";
import { formatTable } from "../output/formatTable.js";

/** Prints the audit trail (who changed which resource), oldest entry first. */
export const auditCommand = async (context: CommandContext): Promise<Result<void, CliError>> =>
    (await context.api.list("auditentries")).map(({ items }) => {
        if (context.json) {
            context.print(JSON.stringify(items.map(item => item.spec), undefined, 2));
            return;
        }
        const rows = items.map(({ spec, resourceVersion }) => [
            new Date(Number(spec.atMs)).toISOString(),
            String(spec.operator),
            String(spec.action),
            `${String(spec.kind)}/${String(spec.name)}`,
            resourceVersion,
        ]);
        context.print(formatTable(["TIME", "OPERATOR", "ACTION", "RESOURCE", "VERSION"], rows));
    });
