import type { MemberInfo } from "./memberInfo.js";

/** State of a member as this instance sees it. */
export interface MemberState {
    info: MemberInfo;
    state: "alive" | "suspect" | "dead";
    suspectSinceMs: number;
    /** Instances that got no response from the member. One accuser other than this instance isn't enough to remove it. */
    suspectedBy: Set<string>;
    lastSeenAtMs: number;
}
