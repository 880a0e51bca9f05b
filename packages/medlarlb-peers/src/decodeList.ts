import type { Check } from "./checks/check.js";

/** Returns the members of a list that can be read. `onBroken` is called with the path of each other one's fault. */
export const decodeList = (list: readonly unknown[], check: Check, onBroken: (path: string) => void): unknown[] =>
    list.filter(member => {
        const fault = check(member, "entry");
        if (fault !== undefined) {
            onBroken(fault);
        }
        return fault === undefined;
    });
