import type { ResourceKind } from "./resourceKind.js";

/** Kinds that operators declare. The other kinds are read-only. */
export const declaredKinds: readonly ResourceKind[] = ["models", "adapters", "modelversions", "services", "targets", "placements"];
