import { brandAs } from "medlarlb-types/brandAs";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import { parseAddress } from "medlarlb-types/parseAddress";
import type { ZoneId } from "medlarlb-types/zoneId";
import { Result } from "true-myth";

const readZone = (text: string): unknown => {
    try {
        return (JSON.parse(text) as { zone?: unknown } | null)?.zone;
    }
    catch {
        return undefined;
    }
};

/** Decodes the entry of an instance in the platform's store, or returns the reason why it names none. An instance's id is its address. */
export const decodeInstanceEntry = (id: string, text: string): Result<ListedInstance, string> => {
    if (parseAddress(id) === undefined) {
        return Result.err("the id is not an IP number and a port");
    }
    const zone = readZone(text);
    return typeof zone === "string" && zone !== ""
        ? Result.ok({ id, role: "daemon", zone: brandAs<ZoneId>(zone), address: id, state: "live" })
        : Result.err("the entry names no zone");
};
