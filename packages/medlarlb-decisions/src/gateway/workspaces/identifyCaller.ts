import type { KeyDigest } from "medlarlb-types/keyDigest";
import type { Route } from "medlarlb-types/route";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import type { CallerIdentity } from "./callerIdentity.js";

const explainRefusal = (keys: readonly string[]): string => {
    if (keys.length === 0) {
        return "the request has no API key";
    }
    if (keys.length > 1) {
        return "the request has several API keys";
    }
    return keys[0] === "" ? "the API key is empty" : "the API key belongs to no workspace";
};

/**
 * Determines whom a request belongs to. `keys` are the raw values of all its key headers. A key counts only if it is the only one
 * and exactly equal to one of the configuration. Without workspaces in the configuration, every request is public.
 */
export const identifyCaller = (
    config: Pick<RoutingConfig, "workspaces" | "workspaceByKeyDigest">,
    route: Pick<Route, "public">,
    keys: readonly string[],
    digestKey: (key: string) => KeyDigest,
): CallerIdentity => {
    if (config.workspaces === undefined) {
        return { kind: "public" };
    }
    const [key = ""] = keys;
    if (keys.length === 1 && key !== "") {
        const keyDigest = digestKey(key);
        const workspace = config.workspaceByKeyDigest?.get(keyDigest);
        if (workspace !== undefined) {
            return { kind: "workspace", workspace, keyDigest };
        }
    }
    return route.public === true ? { kind: "public" } : { kind: "unknown", reason: explainRefusal(keys) };
};
