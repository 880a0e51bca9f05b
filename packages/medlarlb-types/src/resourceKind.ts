/** Kinds of resources that the operator API serves, as its paths name them. */
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
