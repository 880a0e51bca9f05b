import type * as z from "zod/mini";
import { describeFault } from "./describeFault.js";

/** Decodes the members of a list. Those that can't be read are left out, and `onBroken` is called with the reason. */
export const decodeList = <Member>(list: readonly unknown[], schema: z.ZodMiniType<Member>, onBroken: (reason: string) => void): Member[] =>
    list.flatMap(member => {
        const decoded = schema.safeParse(member);
        if (decoded.success) {
            return [decoded.data];
        }
        onBroken(describeFault(decoded.error));
        return [];
    });
