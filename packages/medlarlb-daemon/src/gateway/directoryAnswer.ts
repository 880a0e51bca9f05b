import type { GoneTarget } from "medlarlb-types/goneTarget";
import type { StoreEntry } from "medlarlb-types/storeEntry";

/** What an instance tells another one of the platform's store: its entries as of a revision, and the targets that have left. */
export interface DirectoryAnswer {
    items: StoreEntry[];
    revision: number | undefined;
    gone: GoneTarget[];
}
