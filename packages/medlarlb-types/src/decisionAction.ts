/** What a decision does, as operators see it in the decision's record. */
export type DecisionAction =
    | "load"
    | "loaded"
    | "loadFailed"
    | "unload"
    | "unloaded"
    | "move"
    | "refuse"
    | "drain"
    | "retry"
    | "resume"
    | "quarantine"
    | "takeOwnership"
    | "loseOwnership"
    | "anchor"
    | "targetSilent"
    | "targetBack"
    | "configApplied";
