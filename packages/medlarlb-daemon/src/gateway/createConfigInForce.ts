import type { ConfigEntry } from "medlarlb-types/configEntry";
import type { EntryOrigin } from "medlarlb-types/entryOrigin";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import { createStartHold } from "medlarlb-decisions/gateway/workspaces/createStartHold";
import type { Result } from "true-myth";

interface ConfigOptions {
    decode: (text: string) => Result<RoutingConfig, string>;
    now: () => number;
    random: () => number;
    /** Returns the other instances that may know a configuration. */
    knownPeers: () => InstanceId[];
    /** Requests the configuration of another instance if its version is higher. The answer is given to `receive`. */
    request: (id: InstanceId, sinceVersion: number) => void;
    onApplied: (config: RoutingConfig, origin: EntryOrigin | undefined) => void;
    logEvent: (event: string, fields: Record<string, unknown>) => void;
}

interface ConfigDocument {
    config: RoutingConfig;
    text: string;
    origin: EntryOrigin | undefined;
}

interface PeerConfig {
    revision: number;
    base: number;
    entries: ConfigEntry[];
}

/** Interval in ms of the checks whether the first configuration may be put in force. */
const HOLD_CHECK_MS = 50;
const CONFIG_ENTRY_KEY = "config";

/**
 * Creates the keeper of the configuration in force: the one with the highest version of those that the store and other instances
 * have shown. The first one with workspaces is held back until other instances have been asked for a newer one.
 */
export const createConfigInForce = ({ decode, now, random, knownPeers, request, onApplied, logEvent }: ConfigOptions) => {
    const hold = createStartHold();
    let inForce: ConfigDocument | undefined;
    let held: ConfigDocument | undefined;
    let timer: NodeJS.Timeout | undefined;
    let heldSinceMs = 0;

    const apply = (document: ConfigDocument): void => {
        clearInterval(timer);
        held = undefined;
        inForce = document;
        onApplied(document.config, document.origin);
    };

    const checkHold = (): void => {
        if (held === undefined) {
            return;
        }
        const { version } = held.config;
        hold.listDue(now(), knownPeers(), random).forEach(id => request(id, version));
        if (hold.isOver(now())) {
            logEvent("configHeld", { version, heldMs: Math.round(now() - heldSinceMs), ...hold.describe() });
            apply(held);
        }
    };

    const offer = (text: string, origin?: EntryOrigin): void => {
        const decoded = decode(text);
        if (decoded.isErr) {
            logEvent("configBroken", { origin, reason: decoded.error, keptVersion: inForce?.config.version });
            return;
        }
        const config = decoded.value;
        const known = inForce ?? held;
        if (known !== undefined && config.version <= known.config.version) {
            return;
        }
        if (inForce !== undefined || config.workspaces === undefined) {
            apply({ config, text, origin });
            return;
        }
        if (held === undefined) {
            heldSinceMs = now();
            hold.begin(heldSinceMs);
            timer = setInterval(checkHold, HOLD_CHECK_MS);
        }
        held = { config, text, origin };
    };

    return {
        current: (): RoutingConfig | undefined => inForce?.config,
        /** Takes a document from the store, or from the entries of the store that another instance knows. */
        offer,
        /** Takes the answer of another instance to a request for its configuration. */
        receive: ({ revision, entries }: PeerConfig, from: InstanceId): void => {
            hold.recordAnswer(from, revision);
            if (revision > 0) {
                entries.forEach(entry => offer(entry.value ?? ""));
            }
        },
        /** Returns what another instance gets that asks for a version above `sinceVersion`. */
        since: (sinceVersion: number): PeerConfig => {
            const revision = inForce?.config.version ?? 0;
            const isNews = inForce !== undefined && revision > sinceVersion;
            return { revision, base: 0, entries: isNews ? [{ key: CONFIG_ENTRY_KEY, value: inForce?.text ?? "", revision }] : [] };
        },
        stop: (): void => clearInterval(timer),
    };
};
