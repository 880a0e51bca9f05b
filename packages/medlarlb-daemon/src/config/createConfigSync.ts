import { kvKeys } from "medlarlb-types/kvKeys";
import type { createKvClient } from "medlarlb-platform/createKvClient";
import type { KvEvent } from "medlarlb-platform/kvEvent";
import type { createConfigStore } from "./createConfigStore.js";

const RETRY_MS = 500;
const CHECK_MS = 2_000; // finds a watch that stays open and delivers nothing

/** Creates the part that follows the configuration in the KV service, by a list and a watch that is checked. */
export const createConfigSync = (kv: ReturnType<typeof createKvClient>, store: ReturnType<typeof createConfigStore>) => {
    let stopWatch: () => void = () => undefined;
    let stopped = false;
    let listing = false;

    const takeEvents = (events: KvEvent[]): void => {
        const head = events.find(event => event.key === kvKeys.configHead);
        if (head === undefined || head.revision <= store.revision()) {
            return;
        }
        const entries = events.filter(event => event.key !== kvKeys.configHead).map(({ key, value, revision }) =>
            (value === undefined ? { key, revision } : { key, value, revision }));
        store.apply({ revision: head.revision, base: store.revision(), entries });
    };

    const list = async (): Promise<void> => {
        const range = await kv.list(kvKeys.configPrefix);
        if (range.isErr || stopped) {
            setTimeout(restart, RETRY_MS).unref();
            return;
        }
        const head = range.value.pairs.find(pair => pair.key === kvKeys.configHead);
        if (head !== undefined) {
            const entries = range.value.pairs.filter(pair => pair !== head);
            store.apply({ revision: head.revision, base: 0, entries });
        }
        stopWatch = kv.watch(kvKeys.configPrefix, range.value.revision + 1, {
            onEvents: takeEvents,
            onEnd: () => setTimeout(restart, RETRY_MS).unref(),
        });
    };

    const restart = (): void => {
        if (stopped || listing) {
            return;
        }
        listing = true;
        stopWatch();
        list().finally(() => {
            listing = false;
        });
    };

    const check = async (): Promise<void> => {
        const head = await kv.get(kvKeys.configHead);
        const missed = head.isOk && (head.value.pairs[0]?.revision ?? 0) > store.revision();
        if (missed) {
            restart();
        }
    };

    const timer = setInterval(() => void check(), CHECK_MS);
    return {
        start: restart,
        stop: (): void => {
            stopped = true;
            clearInterval(timer);
            stopWatch();
        },
    };
};
