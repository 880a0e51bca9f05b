/**
 * Time in ms for which an instance tells others that become known of the ends that it has reported. An instance that starts serves
 * requests before all others know it, by the pause between two watches and the interval of the group's check.
 */
export const TOLD_ENDS_MS = 2_000;
