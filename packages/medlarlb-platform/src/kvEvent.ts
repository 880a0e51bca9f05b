/** One change that a watch reports. A deletion has no value. */
export interface KvEvent {
    key: string;
    value: string | undefined;
    revision: number;
}
