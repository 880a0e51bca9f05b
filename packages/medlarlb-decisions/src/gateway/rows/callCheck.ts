import type { CallRow } from "./callRow.js";

/** A scheduled check of a call's time-outs. */
export interface CallCheck {
    row: CallRow;
    atMs: number;
}
