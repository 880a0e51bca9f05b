/** Recent use of a service by a workspace, in tokens or, for a plain service, in the workspace's units. Older use counts less. */
export type WorkspaceUse = [service: string, workspace: string, tokens: number];
