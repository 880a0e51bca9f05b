import { readFileSync } from "node:fs";
import { gatewaySettingRules } from "../settings/gatewaySettingRules.js";
import type { GatewaySettingsFile } from "../settings/gatewaySettingsFile.js";
import { parseSettings } from "../settings/parseSettings.js";
import { reportProcessEnd } from "../shared/reportProcessEnd.js";
import { createGateway } from "./createGateway.js";
import { createGatewayMetrics } from "./createGatewayMetrics.js";
import { createLog } from "./createLog.js";

const EXIT_BAD_SETTINGS = 2;
const EXIT_CANNOT_START = 1;
const EXIT_CANNOT_STOP = 3;

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

/** Starts the gateway by the settings file that the environment names. Returns its planned stop, which ends the process. */
export const runGateway = (): (() => void) => {
    const settings = readSettings(process.env.MEDLARLB_CONFIG ?? "medlarlb-gateway.ini");
    const metrics = createGatewayMetrics();
    const log = createLog(settings.peer.address, () => metrics.events.inc({ event: "logDropped" }));
    reportProcessEnd(log);

    /** Ends the process because of a failed start or stop, with the reason in the log. */
    const end = (status: number, event: string, reason: string): never => {
        log.writeFatal(event, { reason });
        return fail(status, reason);
    };

    const gateway = createGateway(settings, metrics, log);
    let isStopping = false;
    gateway.start().catch((err: Error) => end(EXIT_CANNOT_START, "startFailed", `the gateway can't start: ${err.message}`));
    return () => {
        if (isStopping) {
            return;
        }
        isStopping = true;
        gateway.stop().then(
            () => process.exit(0),
            (err: Error) => end(EXIT_CANNOT_STOP, "stopFailed", `the planned stop failed: ${err.message}`),
        );
    };
};
