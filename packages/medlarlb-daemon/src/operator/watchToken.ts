/** Position in the watches of resources. The sequence number is valid only for the boot of the instance that issued it. */
export interface WatchToken {
    /** Revision of the configuration. */
    revision: number;
    bootId: string;
    sequence: number;
}
