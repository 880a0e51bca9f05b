import type { TargetId } from "./targetId.js";

/** Content of the headers that a target gets beside the caller's own. */
export interface TargetHeaderOptions {
    /** Target that is meant. Another target at its address refuses the request. */
    targetId: TargetId;
    /** Time in ms that remains until the caller's deadline. */
    deadlineMs: number;
    /** Rank on the engine, 0 first; undefined for targets that aren't engines. */
    priority: number | undefined;
    /** Id of the event after which a stream resumes. */
    lastEventId: string | undefined;
    /** Address of the engine that receives a copy of the run's state. */
    copyToAddress: string | undefined;
    /** Address of the engine that holds such a copy, from which the run continues. */
    continueFromAddress: string | undefined;
    /**
     * Present where the configuration has workspaces: the caller's own key and workspace header are removed then. `name` is missing
     * if the request belongs to no workspace.
     */
    workspace?: { name: string | undefined } | undefined;
}
