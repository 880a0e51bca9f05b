/** A small piece of shared knowledge. For each key the highest version wins. */
export interface GossipEntry {
    key: string;
    version: number;
    /**
     * Whether the entry isn't urgent, so that it is sent fewer times. Some members receive it only with their next pull.
     * They also get the same information from the platform's store or from probes.
     */
    calm?: boolean;
    value: unknown;
    /** Zone to which the entry is limited; undefined for an entry for all zones. */
    zone?: string;
}
