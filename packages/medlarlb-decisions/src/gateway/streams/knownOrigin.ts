/** A stream's beginning, as this instance knows it. */
export interface KnownOrigin {
    service: string;
    /** Software version of the target that brought the first event; undefined if it is in doubt. */
    softwareVersion: string | undefined;
    /** Time until which the caller may take the stream up. */
    untilMs: number;
    /** Whether other instances know it: this one has told them, or they told this one. */
    isTold: boolean;
}
