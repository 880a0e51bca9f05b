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

interface StartOptions {
    /** Peer addresses of other gateways, separated by commas. */
    seeds?: string | undefined;
    /** Whether to wait until the gateway is ready; true by default. */
    awaitReady?: boolean;
    /** Lines of the settings' section `policy`. */
    policy?: readonly string[];
    /** A process that has ended, whose addresses the new one takes. */
    ended?: OwnAddresses | undefined;
}

/** Starts a gateway process and waits until it is ready. Its log is kept as one record a line. */
export const startGatewayProcess = async (storeAddress: string, options: StartOptions = {}) => {
    const { seeds = "", awaitReady = true, policy = [], ended } = options;
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
    writeFileSync(path, createGatewaySettings(addresses, seeds, policy));
    const child = spawn(process.execPath, [GATEWAY_SCRIPT], { env: { ...process.env, MEDLARLB_CONFIG: path }, stdio: ["ignore", "pipe", "inherit"] });
    const log: Record<string, unknown>[] = [];
    createInterface({ input: child.stdout }).on("line", line => {
        const record = JSON.parse(line) as Record<string, unknown>;
        log.push(record);
        if (record.event === "itemFailed") {
            // A process survives such an error, and a test must not.
            throw new Error(`an item of a gateway process has failed: ${line}`);
        }
    });
    const hasEnded = (): boolean => (child.exitCode ?? child.signalCode ?? undefined) !== undefined;
    await waitFor("the gateway is ready, or listens", async () => {
        if (hasEnded()) {
            throw new Error(`the gateway has ended before it was ready: ${JSON.stringify(log.at(-1))}`);
        }
        const res = await request(`http://${addresses.readiness}/`).catch(() => undefined);
        await res?.body.dump();
        return res?.statusCode === 200 || (res !== undefined && !awaitReady);
    });
    return {
        ...addresses,
        log,
        hasEnded,
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
