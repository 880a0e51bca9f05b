import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { addDecaying } from "./addDecaying.js";
import { fairnessPeriodsMs } from "./fairnessPeriodsMs.js";
import { workspaceName } from "./workspaceName.js";

/** Counts the first attempt of a request as use of its service by its workspace. */
export const recordUse = ({ config, fairness, nowMs }: GatewayContext, { metadata, attempts }: CallRow): void => {
    if (config?.workspaces === undefined || attempts > 1) {
        return;
    }
    const { service, workspace, model, promptTokens, outputTokens } = metadata;
    const plainAmount = workspace?.quota?.unit === "tokens" ? workspace.quota.plainTokens : 1;
    const used = fairness.used.get(service) ?? new Map();
    fairness.used.set(service, used);
    const amount = model === undefined ? plainAmount : promptTokens + outputTokens;
    addDecaying(used, workspaceName(metadata), amount, fairnessPeriodsMs.used, nowMs);
};
