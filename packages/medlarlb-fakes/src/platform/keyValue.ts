/** One key of the KV stand-in with its revisions. */
export interface KeyValue {
    key: string;
    /** Base64, as in etcd's JSON gateway. */
    value: string;
    createRevision: number;
    modRevision: number;
    version: number;
    /** Id of the lease that the key is attached to, or "0". */
    lease: string;
}
