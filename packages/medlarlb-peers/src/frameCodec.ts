import { Encoder } from "cbor-x";

/**
 * Field names that frames encode as small numbers: their position in this list, counted from 1. Statuses cross zones
 * several times a second, and most of their bytes would be names. New names go to the end of the list. A change of the
 * order requires a new protocol number.
 */
const FIELDS = [
    "kind",
    "status",
    "instanceId",
    "zone",
    "ofZone",
    "planning",
    "arrivals",
    "waiting",
    "loads",
    "service",
    "model",
    "tokens",
    "requests",
    "targetId",
    "backlogTokens",
    "running",
    "runs",
    "digest",
    "reachedZones",
    "planningZones",
    "news",
    "startedAtMs",
    "orderCount",
    "held",
    "name",
    "adapters",
    "opening",
    "closing",
    "storeLoadBegun",
    "sequence",
    "sender",
    "configRevision",
    "rumours",
    "id",
    "bootId",
    "address",
    "operatorAddress",
    "incarnation",
    "leaving",
    "key",
    "version",
    "value",
    "calm",
    "adapter",
    "changes",
    "after",
    "revision",
    "items",
    "contactAgeMs",
    "outageEndedAgoMs",
    "readAgeMs",
] as const;

/** Encodes and decodes the messages in the frames between instances. */
export const frameCodec = new Encoder({
    useRecords: false,
    keyMap: Object.fromEntries(FIELDS.map((name, index) => [name, index + 1])),
});
