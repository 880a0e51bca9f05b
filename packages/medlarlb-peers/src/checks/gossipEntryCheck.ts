import type { MemberInfo } from "../memberInfo.js";
import type { Check } from "./check.js";
import { checks } from "./checks.js";
import { memberInfoCheck } from "./memberInfoCheck.js";

const { any, count, flag, id, object, optional, text } = checks;

const entryCheck = object({ key: id, version: count, calm: optional(flag), value: any, zone: optional(text) });
const suspicionCheck = object({ id, bootId: id, incarnation: count, accuser: id });

/** Returns whether the value of an entry is what its key names. Values under other keys are checked by those that use them. */
const hasNamedValue = ({ key, value }: { key: string; value: unknown }): boolean => {
    const [kind = ""] = key.split("/", 1);
    const name = key.slice(kind.length + 1);
    if (kind === "member") {
        return memberInfoCheck(value, "") === undefined && (value as MemberInfo).id === name;
    }
    if (kind === "suspect-member") {
        const { id: suspect, accuser } = (value ?? {}) as { id?: unknown; accuser?: unknown };
        return suspicionCheck(value, "") === undefined && `${String(suspect)}/${String(accuser)}` === name;
    }
    return true;
};

/** Check of a gossip entry. */
export const gossipEntryCheck: Check = (value, path) =>
    entryCheck(value, path) ?? (hasNamedValue(value as { key: string; value: unknown }) ? undefined : `${path}.value`);
