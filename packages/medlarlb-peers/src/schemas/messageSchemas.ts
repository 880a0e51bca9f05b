import * as z from "zod/mini";
import type { PeerMessage } from "../peerMessage.js";
import { fieldSchemas } from "./fieldSchemas.js";
import { loadSchemas } from "./loadSchemas.js";
import { memberInfoSchema } from "./memberInfoSchema.js";

const { amount, count, flag, id, number, text } = fieldSchemas;

const configEntry = z.object({ key: text, value: z.optional(text), revision: count });
const storeEntry = z.object({ key: text, value: z.optional(text), revision: count });
const waiting = z.object({
    service: text,
    model: text,
    requests: amount,
    urgencies: z.optional(z.array(z.tuple([amount, amount, amount, amount]))),
});
const used = z.optional(z.array(z.tuple([text, text, amount])));
const status = z.object({
    instanceId: id,
    zone: id,
    ofZone: flag,
    planning: flag,
    arrivals: z.array(z.object({ service: text, model: text, tokens: amount, requests: amount })),
    waiting: z.array(waiting),
    loads: loadSchemas.status,
    lent: z.optional(z.object({ ms: count, sharers: count })),
    used,
});
const digest = z.object({
    instanceId: id,
    reachedZones: z.array(id),
    planningZones: z.array(id),
    loads: loadSchemas.digest,
    waiting: z.array(waiting),
    used,
});
const news = z.object({
    targetId: id,
    startedAtMs: number,
    orderCount: count,
    held: z.array(z.object({ name: text, adapters: z.array(text) })),
    opening: z.array(text),
    closing: z.array(text),
    storeLoadBegun: flag,
});
const directoryRelay = z.object({
    after: count,
    revision: count,
    items: z.array(storeEntry),
    contactAgeMs: count,
    readAgeMs: z.optional(count),
    outageEndedAgoMs: z.optional(count),
    outageBeganAgoMs: z.optional(count),
    sequence: z.optional(count),
});
const streamOrigin = z.object({ requestId: id, service: text, softwareVersion: z.optional(text), keptForMs: number });
/** The members of these lists are decoded one by one, so that one that can't be read costs no others. */
const members = z.array(z.unknown());
const probe = z.object({ sequence: count, sender: memberInfoSchema, configRevision: count, rumours: members });

/** Schemas of the messages by kind. Fields that they don't name, as of later versions, are left out. */
export const messageSchemas: Readonly<Record<PeerMessage["kind"], z.ZodMiniType>> = {
    hello: z.object({ protocol: number, id, bootId: id, nonce: id }),
    proof: z.object({ mac: text }),
    probe,
    ack: probe,
    probeFor: z.object({ sequence: count, id }),
    probedFor: z.object({ sequence: count, id, answered: flag }),
    pullRumours: z.object({ digest: number }),
    rumours: z.object({ rumours: members }),
    pullConfig: z.object({ since: count }),
    config: z.object({ revision: count, base: count, entries: z.array(configEntry) }),
    demand: z.object({ counts: z.array(z.object({ itemId: id, arrivals: amount, unmet: amount })) }),
    pullDecisions: z.object({ sequence: count, after: count }),
    decisions: z.object({
        sequence: count,
        bootId: id,
        records: z.array(z.looseObject({ id, instance: id, sequence: count, atMs: number, subject: text, reason: text })),
        oldest: count,
    }),
    status: z.object({ status }),
    digest: z.object({ digest }),
    news: z.object({ news }),
    permitWanted: z.object({ targetId: id }),
    permit: z.object({ answer: z.object({ targetId: id, startedAtMs: number, granted: flag, competing: count }) }),
    quotaWanted: z.object({ sequence: count, wants: z.array(z.tuple([text, amount, amount])) }),
    quotaGranted: z.object({ sequence: count, grants: z.array(z.tuple([text, amount, number])) }),
    observations: z.object({ reporterZone: id, observations: members }),
    pullDirectory: z.object({ since: z.optional(count), withGone: z.optional(flag) }),
    directory: z.object({ items: z.array(storeEntry), revision: z.optional(count), gone: z.optional(z.unknown()) }),
    streamOrigins: z.object({ origins: z.array(streamOrigin) }),
    originWanted: z.object({ requestId: id }),
    listWanted: z.object({ sequence: count }),
    directoryChange: z.object({ changes: directoryRelay }),
    wanted: z.object({ service: text, model: text, adapter: z.optional(text), targetId: z.optional(id) }),
};
