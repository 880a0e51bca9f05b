/** History of the connection on which an answer arrives. */
export interface ConnectionHistory {
    /** Time in ms since it was opened. */
    ageMs: number;
    /** Number of requests that it carried before the present one. */
    carriedRequests: number;
}
