import type { ResourceKind } from "./resourceKind.js";

/** Kinds that the system itself writes. */
export const readOnlyKinds: readonly ResourceKind[] = ["instances", "decisions", "auditentries"];
