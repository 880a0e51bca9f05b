/** Place in the watches of resources: the configuration's revision, and the sequence number of one run of an instance. */
export interface WatchToken {
    revision: number;
    bootId: string;
    sequence: number;
}
