/** One key of the KV stand-in with its revisions. Value is base64, as in the JSON gateway. */
export interface KeyValue {
    key: string;
    value: string;
    createRevision: number;
    modRevision: number;
    version: number;
    lease: string;
}
