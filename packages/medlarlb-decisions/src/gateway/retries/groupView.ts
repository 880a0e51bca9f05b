import type { InstanceId } from "medlarlb-types/instanceId";

/** What this instance knows of the group with which it shares the fixed allowance of the retry budget. */
export interface GroupView {
    /** Instances that the store lists or that respond. */
    present: ReadonlySet<InstanceId>;
    /** Whether the store lists this instance. */
    isListed: boolean;
    /** Time at which others were last present. */
    goneAtMs: Map<InstanceId, number>;
    /** Time since which this instance has seen the store's list without a gap as long as a window. */
    observedSinceMs: number;
    /** Latest time at which the list is known to have been as this instance sees it. */
    contactAtMs: number;
    /** Tokens of this instance in each window, and the number of instances that share the allowance. */
    tokens: number;
    instances: number;
    /** State that was logged last. */
    loggedShare: string;
}
