/** A transaction request of the etcd v3 JSON gateway, as far as the stand-in serves it. Keys and values are base64. */
export interface KvTxnRequest {
    compare?: { key: string; target?: string; result?: string; mod_revision?: string; create_revision?: string; version?: string }[];
    success?: KvTxnOperation[];
    failure?: KvTxnOperation[];
}

interface KvTxnOperation {
    request_put?: { key: string; value?: string; lease?: string };
    request_range?: { key: string; range_end?: string };
    request_delete_range?: { key: string; range_end?: string };
    request_txn?: KvTxnRequest;
}
