/** A lease of the platform's store. Its id may be given out again in a later era, to another holder. */
export interface StoreLease {
    id: number;
    era: number;
}
