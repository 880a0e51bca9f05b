import type { WorkspaceQuota } from "./workspaceQuota.js";

/** A customer whose requests are told from others' by API keys. */
export interface Workspace {
    name: string;
    /** Rank of its requests, which takes precedence over their routes' ranks; 0 is the most urgent. */
    priority: number | undefined;
    /** Undefined if it has no limit. */
    quota: WorkspaceQuota | undefined;
}
