import type { WorkspaceUse } from "medlarlb-types/workspaceUse";

/**
 * Maximum number of rows in a message. Those with the most use count: what is left out is taken for the least use, and is served
 * first, as it would be with its row.
 */
const MAX_ROWS = 32;

/** Returns the sum of lists of use, the largest amounts of it. */
export const sumUsed = (lists: readonly (readonly WorkspaceUse[])[]): WorkspaceUse[] => {
    const sums = new Map<string, WorkspaceUse>();
    for (const [service, workspace, tokens] of lists.flat()) {
        const key = JSON.stringify([service, workspace]);
        sums.set(key, [service, workspace, (sums.get(key)?.[2] ?? 0) + tokens]);
    }
    return [...sums.values()].sort((one, other) => other[2] - one[2]).slice(0, MAX_ROWS);
};
