/** Kinds of resources that the operator API serves, as they stand in its paths. */
export type ResourceKind =
    | "models"
    | "adapters"
    | "modelversions"
    | "services"
    | "targets"
    | "placements"
    | "instances"
    | "decisions"
    | "auditentries";
