import type { KeyDigest } from "medlarlb-types/keyDigest";
import type { Workspace } from "medlarlb-types/workspace";

/**
 * Whom a request belongs to: a workspace, nobody although it may run (`public`), or a caller that isn't known, whose request must
 * not run. The reason never contains the key.
 */
export type CallerIdentity =
    | { kind: "workspace"; workspace: Workspace; keyDigest: KeyDigest }
    | { kind: "public" }
    | { kind: "unknown"; reason: string };
