import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { WorkspaceQuota } from "medlarlb-types/workspaceQuota";

/** Returns what a request costs of its workspace's quota. */
export const quotaCost = ({ promptTokens, outputTokens }: CallMetadata, { unit, plainTokens }: WorkspaceQuota): number => {
    if (unit === "requests") {
        return 1;
    }
    const tokens = promptTokens + outputTokens;
    return tokens > 0 ? tokens : plainTokens;
};
