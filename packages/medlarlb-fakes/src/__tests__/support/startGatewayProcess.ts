import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { request } from "undici";
import { findFreePort } from "../../cluster/findFreePort.js";
import { waitFor } from "../../cluster/waitFor.js";
import { createGatewaySettings } from "./createGatewaySettings.js";

const GATEWAY_SCRIPT = "packages/medlarlb-daemon/lib/gatewayMain.js";

/** Addresses on which an instance listens. */
type OwnAddresses = Record<"caller" | "readiness" | "metrics" | "peer", string>;

/**
 * Starts a gateway process on free ports, or on those of a process that has ended, and waits until it is ready. Its log is kept as
 * one record a line.
 */
export const startGatewayProcess = async (storeAddress: string, ended?: OwnAddresses, seeds?: string) => {
    const folder = mkdtempSync(join(tmpdir(), "medlarlb-gateway-"));
    const findAddress = async (): Promise<string> => `127.0.0.1:${await findFreePort()}`;
    const addresses = {
        caller: ended?.caller ?? await findAddress(),
        readiness: ended?.readiness ?? await findAddress(),
        metrics: ended?.metrics ?? await findAddress(),
        peer: ended?.peer ?? await findAddress(),
        store: storeAddress,
    };
    const path = join(folder, "settings.ini");
    writeFileSync(path, createGatewaySettings(addresses, seeds));
    const child = spawn(process.execPath, [GATEWAY_SCRIPT], { env: { ...process.env, MEDLARLB_CONFIG: path }, stdio: ["ignore", "pipe", "inherit"] });
    const log: Record<string, unknown>[] = [];
    createInterface({ input: child.stdout }).on("line", line => log.push(JSON.parse(line) as Record<string, unknown>));
    await waitFor("the gateway is ready", async () => {
        const res = await request(`http://${addresses.readiness}/`).catch(() => undefined);
        await res?.body.dump();
        return res?.statusCode === 200;
    });
    return {
        ...addresses,
        log,
        /** Freezes the process until it is resumed, as if its machine stood still. */
        freeze: (): void => void child.kill("SIGSTOP"),
        resume: (): void => void child.kill("SIGCONT"),
        /** Sends the signal of a planned stop, and resolves with the time in ms until the process has ended. */
        terminate: async (): Promise<number> => {
            const startedAtMs = performance.now();
            child.kill("SIGTERM");
            await once(child, "exit");
            return performance.now() - startedAtMs;
        },
        stop: (): void => {
            child.kill("SIGKILL");
            rmSync(folder, { recursive: true, force: true });
        },
    };
};
