import type { PeerMessage } from "../peerMessage.js";
import type { Check } from "./check.js";
import { checks } from "./checks.js";
import { directoryRelayCheck } from "./directoryRelayCheck.js";
import { memberInfoCheck } from "./memberInfoCheck.js";
import { storeEntryCheck } from "./storeEntryCheck.js";

const { any, amount, count, flag, id, list, number, object, optional, record, text, tuple, version } = checks;

const configEntry = object({ key: text, value: optional(text), revision: version });
const waiting = object({
    service: text,
    model: text,
    requests: amount,
    urgencies: optional(list(tuple(amount, amount, amount, amount))),
});
const used = optional(list(tuple(text, text, amount)));
const loadFields = { targetId: id, backlogTokens: amount, running: amount, contextTokens: optional(amount) };
const load = object(loadFields);
const statusLoad = object({ ...loadFields, runs: record(amount), wantsMemory: optional(flag) });
const status = object({
    instanceId: id,
    zone: id,
    ofZone: flag,
    planning: flag,
    arrivals: list(object({ service: text, model: text, tokens: amount, requests: amount })),
    waiting: list(waiting),
    loads: list(statusLoad),
    lent: optional(object({ ms: count, sharers: count })),
    used,
});
const digest = object({
    instanceId: id,
    reachedZones: list(id),
    planningZones: list(id),
    loads: list(load),
    waiting: list(waiting),
    used,
});
const news = object({
    targetId: id,
    startedAtMs: number,
    orderCount: count,
    held: list(object({ name: text, adapters: list(text) })),
    opening: list(text),
    closing: list(text),
    storeLoadBegun: flag,
});
const streamOrigin = object({ requestId: id, service: text, softwareVersion: optional(text), keptForMs: number });
/** The members of these lists are decoded one by one, so that one that can't be read costs no others. */
const members = list(any);
const probe = { sequence: count, sender: memberInfoCheck, configRevision: version, rumours: members };

/** Checks of the fields of the messages, by kind. */
export const messageChecks: Readonly<Record<PeerMessage["kind"], Readonly<Record<string, Check>>>> = {
    hello: { protocol: number, id, bootId: id, nonce: id },
    proof: { mac: text },
    probe,
    ack: probe,
    probeFor: { sequence: count, id },
    probedFor: { sequence: count, id, answered: flag },
    pullRumours: { digest: number },
    rumours: { rumours: members },
    pullConfig: { since: version },
    config: { revision: version, base: count, entries: list(configEntry) },
    demand: { counts: list(object({ itemId: id, arrivals: amount, unmet: amount })) },
    pullDecisions: { sequence: count, after: count },
    decisions: {
        sequence: count,
        bootId: id,
        records: list(object({ id, instance: id, sequence: count, atMs: number, subject: text, reason: text })),
        oldest: count,
    },
    status: { status },
    digest: { digest },
    news: { news },
    permitWanted: { targetId: id },
    permit: { answer: object({ targetId: id, startedAtMs: number, granted: flag, competing: count }) },
    quotaWanted: { sequence: count, wants: list(tuple(text, amount, amount)) },
    quotaGranted: { sequence: count, grants: list(tuple(text, amount, number)) },
    observations: { reporterZone: id, observations: members },
    pullDirectory: { since: optional(count), withGone: optional(flag) },
    directory: { items: list(storeEntryCheck), revision: optional(count), gone: optional(any) },
    streamOrigins: { origins: list(streamOrigin) },
    originWanted: { requestId: id },
    listWanted: { sequence: count },
    directoryChange: { changes: directoryRelayCheck },
    wanted: { service: text, model: text, adapter: optional(text), targetId: optional(id) },
};
