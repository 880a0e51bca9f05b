/** A small piece of shared knowledge. For each key the highest version wins. */
export interface Rumour {
    key: string;
    version: number;
    value: unknown;
    /** Spread only inside this zone, when set. */
    zone?: string;
}
