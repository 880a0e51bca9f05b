import { readFileSync } from "node:fs";
import { createGateway } from "./gateway/createGateway.js";
import { gatewaySettingRules } from "./settings/gatewaySettingRules.js";
import type { GatewaySettingsFile } from "./settings/gatewaySettingsFile.js";
import { parseSettings } from "./settings/parseSettings.js";

const EXIT_BAD_SETTINGS = 2;
const EXIT_CANNOT_START = 1;

const fail = (code: number, message: string): never => {
    console.error(message);
    process.exit(code);
};

const readSettings = (path: string): GatewaySettingsFile => {
    let text = "";
    try {
        text = readFileSync(path, "utf8");
    }
    catch (err) {
        fail(EXIT_BAD_SETTINGS, `${path}: the settings can't be read (${(err as Error).message}); name the file in MEDLARLB_CONFIG`);
    }
    return parseSettings<GatewaySettingsFile>(text, gatewaySettingRules).unwrapOrElse(faults =>
        fail(EXIT_BAD_SETTINGS, faults.map(({ line, key, message, remedy }) => `${path}:${line}: ${key}: ${message}; ${remedy}`).join("\n")));
};

const gateway = createGateway(readSettings(process.env.MEDLARLB_CONFIG ?? "medlarlb-gateway.ini"));
process.once("SIGTERM", () => {
    gateway.stop().then(() => process.exit(0), () => process.exit(EXIT_CANNOT_START));
});
// A running instance doesn't reload its settings. Without this handler, SIGHUP would end the process.
process.on("SIGHUP", () => undefined);
gateway.start().catch((err: Error) => fail(EXIT_CANNOT_START, `the gateway can't start: ${err.message}`));
