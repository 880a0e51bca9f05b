import { Encoder } from "cbor-x";

/**
 * Field names that stand in frames as small numbers, by their place from 1. Most bytes of the statuses, which cross zones
 * several times a second, would be names. Names are added at the end; a change of the order needs a new protocol number.
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
] as const;

/** Encodes and decodes what stands in the frames between instances. */
export const frameCodec = new Encoder({
    useRecords: false,
    keyMap: Object.fromEntries(FIELDS.map((name, index) => [name, index + 1])),
});
