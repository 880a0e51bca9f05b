/** Time in ms beyond the deadline of a call in which its caller may take its stream up: a caller may wait longer than its route allows. */
export const TAKE_UP_MARGIN_MS = 10_000;
