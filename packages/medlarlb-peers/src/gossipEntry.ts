/** A small piece of shared knowledge. For each key the highest version wins. */
export interface GossipEntry {
    key: string;
    version: number;
    /** Whether it may reach some members late, by their next pull: they learn the same from the store's list or from probes. */
    calm?: boolean;
    value: unknown;
    /** Spread only inside this zone, when set. */
    zone?: string;
}
