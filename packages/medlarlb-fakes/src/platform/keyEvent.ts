import type { KeyValue } from "./keyValue.js";

/** One change of the KV stand-in. A deletion carries the key and its revision only. */
export interface KeyEvent {
    type: "PUT" | "DELETE";
    kv: KeyValue;
}
