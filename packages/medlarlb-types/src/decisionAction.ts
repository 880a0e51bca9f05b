/** What a decision does. */
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
