import type { KeyValue } from "./keyValue.js";

/** One change in the KV stand-in. The value of a deletion is empty, and its `modRevision` is that of the deletion. */
export interface KeyEvent {
    type: "PUT" | "DELETE";
    kv: KeyValue;
}
