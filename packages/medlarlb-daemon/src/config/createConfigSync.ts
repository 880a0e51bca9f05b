import { kvKeys } from "medlarlb-types/kvKeys";
import type { createKvClient } from "medlarlb-platform/createKvClient";
import type { KvEvent } from "medlarlb-platform/kvEvent";
import type { createConfigStore } from "./createConfigStore.js";

const RETRY_DELAY_MS = 500;
const CHECK_INTERVAL_MS = 2_000; // detects a watch that stays open but delivers no events

/**
 * Creates the sync that keeps the store up to date with the configuration in the KV service. It lists the entries, watches them for
 * changes, and compares the revisions at intervals.
 */
export const createConfigSync = (kv: ReturnType<typeof createKvClient>, store: ReturnType<typeof createConfigStore>) => {
    let stopWatch: () => void = () => undefined;
    let stopped = false;
    let isListing = false;

    const applyEvents = (events: KvEvent[]): void => {
        const head = events.find(event => event.key === kvKeys.configHead);
        if (head === undefined || head.revision <= store.revision()) {
            return;
        }
        const entries = events.filter(event => event.key !== kvKeys.configHead).map(({ key, value, revision }) =>
            (value === undefined ? { key, revision } : { key, value, revision }));
        store.apply({ revision: head.revision, base: store.revision(), entries });
    };

    const listAndWatch = async (): Promise<void> => {
        const range = await kv.list(kvKeys.configPrefix);
        if (range.isErr || stopped) {
            setTimeout(restart, RETRY_DELAY_MS).unref();
            return;
        }
        const head = range.value.pairs.find(pair => pair.key === kvKeys.configHead);
        if (head !== undefined) {
            const entries = range.value.pairs.filter(pair => pair !== head);
            store.apply({ revision: head.revision, base: 0, entries });
        }
        stopWatch = kv.watch(kvKeys.configPrefix, range.value.revision + 1, {
            onEvents: applyEvents,
            onEnd: () => setTimeout(restart, RETRY_DELAY_MS).unref(),
        });
    };

    const restart = (): void => {
        if (stopped || isListing) {
            return;
        }
        isListing = true;
        stopWatch();
        listAndWatch().finally(() => {
            isListing = false;
        });
    };

    const checkRevision = async (): Promise<void> => {
        const head = await kv.get(kvKeys.configHead);
        const isBehind = head.isOk && (head.value.pairs[0]?.revision ?? 0) > store.revision();
        if (isBehind) {
            restart();
        }
    };

    const timer = setInterval(() => void checkRevision(), CHECK_INTERVAL_MS);
    return {
        start: restart,
        stop: (): void => {
            stopped = true;
            clearInterval(timer);
            stopWatch();
        },
    };
};
