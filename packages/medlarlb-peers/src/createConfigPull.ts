import type { InstanceId } from "medlarlb-types/instanceId";

interface ConfigPullOptions {
    /** Time in ms for which the configuration may still arrive by another way. */
    delayMs: number;
    configRevision: () => number;
    request: (id: InstanceId) => void;
    /** Calls a function, and reports an error that it throws. */
    guard: (kind: string, run: () => void) => void;
}

/** Creates the function that requests a newer configuration from a member, unless it has arrived by then. */
export const createConfigPull = ({ delayMs, configRevision, request, guard }: ConfigPullOptions) => {
    /** Revisions that are waited for. */
    const awaited = new Set<number>();

    return (id: InstanceId, revision: number): void => {
        if (delayMs === 0) {
            request(id);
            return;
        }
        if (awaited.has(revision)) {
            return;
        }
        awaited.add(revision);
        setTimeout(() => {
            awaited.delete(revision);
            guard("configPull", () => {
                if (revision > configRevision()) {
                    request(id);
                }
            });
        }, delayMs).unref();
    };
};
