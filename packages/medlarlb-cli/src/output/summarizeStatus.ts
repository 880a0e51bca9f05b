import type { Resource } from "medlarlb-types/resource";

/** Returns a short text for the status of a resource, for the STATUS column of a table. */
export const summarizeStatus = ({ status }: Resource): string => {
    if (status === undefined) {
        return "";
    }
    const { state, ready, replicas, targets, items } = status as Record<string, unknown>;
    const parts: string[] = [];
    if (state !== undefined) {
        parts.push(String(state));
    }
    if (ready !== undefined) {
        parts.push(ready === true ? "ready" : "not ready");
    }
    if (Array.isArray(replicas)) {
        parts.push(replicas.map(replica => String((replica as { target: string }).target)).join(","));
    }
    if (Array.isArray(targets)) {
        parts.push(targets.join(","));
    }
    if (Array.isArray(items)) {
        parts.push(`${items.length} items`);
    }
    return parts.filter(part => part !== "").join(" ");
};
