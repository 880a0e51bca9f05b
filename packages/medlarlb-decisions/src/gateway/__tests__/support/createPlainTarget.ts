import { brandAs } from "medlarlb-types/brandAs";
import type { TargetEntry } from "medlarlb-types/targetEntry";

interface PlainTarget {
    id: string;
    index: number;
    zone: string;
    slots: number;
    softwareVersion?: string;
    startedAtMs?: number;
}

/** Creates the entry of a target of the plain service `app`. */
export const createPlainTarget = ({ id, index, zone, slots, softwareVersion = "v1", startedAtMs = 0 }: PlainTarget): TargetEntry => ({
    targetId: brandAs(id),
    service: "app",
    address: `10.0.0.${index}:80`,
    zone: brandAs(zone),
    softwareVersion,
    slots,
    leaving: false,
    startedAtMs,
    remainingMs: undefined,
    models: [],
    inMemory: [],
    onDisk: [],
});
