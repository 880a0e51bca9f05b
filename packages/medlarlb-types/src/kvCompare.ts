/** Condition of a write: the key's modification revision. Revision 0 means that the key doesn't exist. */
export interface KvCompare {
    key: string;
    revision: number;
}
