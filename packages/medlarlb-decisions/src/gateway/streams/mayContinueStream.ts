import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { isSameVersion } from "./isSameVersion.js";

/** Returns whether a target may send further events of a call's stream. Before the first event any target may. */
export const mayContinueStream = ({ origin }: CallRow, target: PoolTarget): boolean =>
    origin === undefined || isSameVersion(target.entry.softwareVersion, origin.softwareVersion);
