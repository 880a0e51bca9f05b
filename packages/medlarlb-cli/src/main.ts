#!/usr/bin/env node
import { userInfo } from "node:os";
import { cac } from "cac";
import type { Result } from "true-myth";
import { createApiClient } from "./api/createApiClient.js";
import type { CliError } from "./cliError.js";
import type { CommandContext } from "./commandContext.js";
import { applyCommand } from "./commands/applyCommand.js";
import { auditCommand } from "./commands/auditCommand.js";
import { deleteCommand } from "./commands/deleteCommand.js";
import { describeCommand } from "./commands/describeCommand.js";
import { drainCommand } from "./commands/drainCommand.js";
import { explainCommand } from "./commands/explainCommand.js";
import { getCommand } from "./commands/getCommand.js";
import { statusCommand } from "./commands/statusCommand.js";
import { watchCommand } from "./commands/watchCommand.js";
import { exitCode } from "./exitCode.js";

/** Options that every command accepts. */
interface GlobalOptions {
    server?: string;
    output?: string;
    operator?: string;
}

const DEFAULT_SERVER = "http://127.0.0.1:9080";

const createContext = (options: GlobalOptions): CommandContext => {
    const servers = (options.server ?? process.env.MEDLARLB_SERVER ?? DEFAULT_SERVER).split(",");
    return {
        api: createApiClient(servers, options.operator ?? userInfo().username),
        json: options.output === "json",
        print: text => console.log(text),
    };
};

/** Prints the error of a failed command and sets the exit code. */
const reportResult = (result: Result<void, CliError>): void => {
    if (result.isErr) {
        console.error(`medlarlb: ${result.error.message}`);
        process.exitCode = result.error.code;
    }
};

const cli = cac("medlarlb");
cli.option("--server <urls>", "Operator addresses of daemons, separated by commas");
cli.option("--output <format>", "table or json", { default: "table" });
cli.option("--operator <name>", "Operator name for the audit trail");

cli.command("apply", "Declare the resources of a file")
    .option("-f, --file <path>", "YAML or JSON file")
    .action(async (options: GlobalOptions & { file?: string }) =>
        reportResult(await applyCommand(createContext(options), options.file ?? "")));
cli.command("get <kind> [name]", "List resources, or show one")
    .action(async (kind: string, name: string | undefined, options: GlobalOptions) =>
        reportResult(await getCommand(createContext(options), kind, name)));
cli.command("describe <kind> <name>", "Show all fields of a resource")
    .action(async (kind: string, name: string, options: GlobalOptions) =>
        reportResult(await describeCommand(createContext(options), kind, name)));
cli.command("watch <kind>", "Show changes of a kind as they happen")
    .option("--from <resourceVersion>", "Resume after this version", { default: "" })
    .option("--limit <count>", "Stop after this many lines; 0 means never", { default: 0 })
    .action(async (kind: string, options: GlobalOptions & { from: string; limit: number }) =>
        reportResult(await watchCommand(createContext(options), kind, options.from, Number(options.limit))));
cli.command("delete <kind> <name>", "Delete a resource")
    .action(async (kind: string, name: string, options: GlobalOptions) =>
        reportResult(await deleteCommand(createContext(options), kind, name)));
cli.command("drain <target>", "Stop sending new work to a target")
    .option("--undo", "Send work to the target again")
    .action(async (name: string, options: GlobalOptions & { undo?: boolean }) =>
        reportResult(await drainCommand(createContext(options), name, options.undo === true)));
cli.command("explain <subject>", "Show the decisions behind a request, item, target or decision")
    .action(async (subject: string, options: GlobalOptions) => reportResult(await explainCommand(createContext(options), subject)));
cli.command("audit", "Show who changed what")
    .action(async (options: GlobalOptions) => reportResult(await auditCommand(createContext(options))));
cli.command("status", "Show the state of the first daemon that responds")
    .action(async (options: GlobalOptions) => reportResult(await statusCommand(createContext(options))));
cli.help();

const runCli = async (): Promise<void> => {
    cli.parse(process.argv, { run: false });
    if (cli.matchedCommand === undefined) {
        if (cli.options.help !== true) {
            cli.outputHelp();
            process.exitCode = exitCode.usage;
        }
        return;
    }
    await cli.runMatchedCommand();
};

runCli().catch((err: Error) => {
    console.error(`medlarlb: ${err.message}; see medlarlb --help`);
    process.exitCode = exitCode.usage;
});
