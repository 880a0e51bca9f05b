/** What a target has told of the duration of work on its machine, as a multiple of the usual duration there, and of its load. */
export interface WorkTime {
    /** Latest reported multiple, 1 for the usual duration. */
    ratio: number;
    /** Average of the reported multiples over the latest seconds. */
    meanRatio: number;
    /** Requests of other instances that ran or waited there at the time of the report. */
    othersInFlight: number;
    /** Average share of its places that were in use, over the latest seconds. */
    meanOccupancy: number;
    atMs: number;
}
