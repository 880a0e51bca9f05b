import type { MemberRow } from "./memberRow.js";

/** What this instance believes of a member. */
export interface MemberState {
    row: MemberRow;
    state: "alive" | "suspect" | "dead";
    suspectSinceMs: number;
    /** Instances that found the member silent. One accuser alone removes nobody. */
    accusers: Set<string>;
    lastHeardMs: number;
}
