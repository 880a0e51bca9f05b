import type { Workspace } from "medlarlb-types/workspace";
import type { WorkspaceQuota } from "medlarlb-types/workspaceQuota";

/** Creates a workspace with a quota for a test: of tokens, unless stated otherwise. */
export const createQuotaWorkspace = (name: string, perSecond: number, burst: number, quota: Partial<WorkspaceQuota> = {}): Workspace => ({
    name,
    priority: undefined,
    quota: { unit: "tokens", perSecond, burst, plainTokens: 200, ...quota },
});
