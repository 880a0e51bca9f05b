import type { ResourceKind } from "./resourceKind.js";

/** One resource as the operator API shows it. */
export interface Resource<Spec = Record<string, unknown>> {
    kind: ResourceKind;
    name: string;
    /** Rises with each accepted change. A PUT that carries an old one is a conflict. */
    resourceVersion: string;
    spec: Spec;
    status?: Record<string, unknown>;
}
