import type { MemberInfo } from "./memberInfo.js";

/** What this instance believes of a member. */
export interface MemberState {
    info: MemberInfo;
    state: "alive" | "suspect" | "dead";
    suspectSinceMs: number;
    /** Instances that found the member silent. One accuser alone removes nobody. */
    suspectedBy: Set<string>;
    lastSeenAtMs: number;
}
