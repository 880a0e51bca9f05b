#!/usr/bin/env node
import { readFileSync } from "node:fs";
import { cac } from "cac";
import { createDaemon } from "./createDaemon.js";
import type { SettingFault } from "./settings/settingFault.js";
import { parseSettings } from "./settings/parseSettings.js";

const EXIT_BAD_SETTINGS = 2;
const EXIT_CANNOT_START = 1;
const DEFAULT_CONFIG = "medlarlbd.ini";

const printFaults = (path: string, faults: SettingFault[]): void => {
    for (const { line, key, message, remedy } of faults) {
        console.error(`${path}:${line}: ${key}: ${message}; ${remedy}`);
    }
};

const run = async (path: string, checkOnly: boolean): Promise<void> => {
    let text: string;
    try {
        text = readFileSync(path, "utf8");
    }
    catch (err) {
        console.error(`${path}: the settings can't be read (${(err as Error).message}); name the file with --config`);
        process.exitCode = EXIT_BAD_SETTINGS;
        return;
    }
    const settings = parseSettings(text);
    if (settings.isErr) {
        printFaults(path, settings.error);
        process.exitCode = EXIT_BAD_SETTINGS;
        return;
    }
    if (checkOnly) {
        console.log(`${path}: the settings are valid`);
        return;
    }
    const daemon = createDaemon(settings.value);
    const stop = (): void => {
        daemon.stop().then(() => process.exit(0), () => process.exit(EXIT_CANNOT_START));
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    await daemon.start();
    console.log(`ready ${settings.value.caller.address}`);
};

const cli = cac("medlarlbd");
cli.command("", "Run one instance of medlarlb")
    .option("--config <path>", "Settings file", { default: DEFAULT_CONFIG })
    .option("--check", "Check the settings and exit")
    .action(async (options: { config: string; check?: boolean }) => {
        await run(options.config, options.check === true);
    });
cli.help();
cli.parse(process.argv, { run: false });
Promise.resolve(cli.runMatchedCommand()).catch((err: Error) => {
    console.error(`medlarlbd can't start: ${err.message}`);
    process.exit(EXIT_CANNOT_START);
});
