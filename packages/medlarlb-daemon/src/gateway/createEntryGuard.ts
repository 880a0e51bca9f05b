import { brandAs } from "medlarlb-types/brandAs";
import type { EntryOrigin } from "medlarlb-types/entryOrigin";
import type { TargetId } from "medlarlb-types/targetId";
import type { DirectoryHandlers } from "./directoryHandlers.js";

type Handlers = Pick<DirectoryHandlers, "onTargetEntry" | "onTargetGone" | "onItemFailed">;

/**
 * Creates the guard that applies each entry of the store on its own, so that an error costs only that entry. The entry counts as
 * known then and is applied again when it changes. A target whose entry fails counts as gone.
 */
export const createEntryGuard = (targetPrefix: string, handlers: Handlers) => {
    /** Returns whether the entry was applied. */
    const guard = (key: string, origin: EntryOrigin, apply: () => void): boolean => {
        try {
            apply();
            return true;
        }
        catch (err) {
            handlers.onItemFailed("entry", err, { key, origin });
            return false;
        }
    };

    const onTargetGone = (targetId: TargetId, origin: EntryOrigin): void =>
        void guard(targetPrefix + targetId, origin, () => handlers.onTargetGone(targetId, origin));

    return {
        guard,
        onTargetGone,
        onTargetEntry: (id: string, text: string, origin: EntryOrigin): void => {
            if (!guard(targetPrefix + id, origin, () => handlers.onTargetEntry(id, text, origin))) {
                onTargetGone(brandAs<TargetId>(id), origin);
            }
        },
    };
};
