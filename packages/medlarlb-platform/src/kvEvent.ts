/** One change that a watch saw. A deletion has no value. */
export interface KvEvent {
    key: string;
    value: string | undefined;
    revision: number;
}
