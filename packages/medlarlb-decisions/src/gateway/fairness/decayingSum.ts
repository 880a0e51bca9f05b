/** A sum in which each amount counts less as it gets older. */
export interface DecayingSum {
    amount: number;
    atMs: number;
}
