import type { AnchorDocument } from "medlarlb-types/anchorDocument";
import { brandAs } from "medlarlb-types/brandAs";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import type { ItemId } from "medlarlb-types/itemId";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { createKvClient } from "medlarlb-platform/createKvClient";
import type { KvEvent } from "medlarlb-platform/kvEvent";

const RETRY_DELAY_MS = 500;
const RELIST_INTERVAL_MS = 10_000; // detects a watch that stays open but delivers no events

type AnchorsInput = Extract<DecisionInput, { kind: "anchors" }>;

const parseDocument = (value: string | undefined): AnchorDocument | undefined => {
    try {
        return value === undefined ? undefined : JSON.parse(value) as AnchorDocument;
    }
    catch {
        return undefined;
    }
};

const toAnchorsInput = (complete: boolean, events: KvEvent[]): AnchorsInput => ({
    kind: "anchors",
    complete,
    anchors: events.map(({ key, value, revision }) => ({
        itemId: brandAs<ItemId>(key.slice(kvKeys.anchorPrefix.length)),
        document: parseDocument(value),
        revision,
    })),
});

/** Creates the sync that passes the anchors in the KV service to the decisions. It is started only on a planner. */
export const createAnchorSync = (kv: ReturnType<typeof createKvClient>, push: (input: AnchorsInput) => void) => {
    let stopWatch: () => void = () => undefined;
    let timer: NodeJS.Timeout | undefined;
    let isRunning = false;

    const listAndWatch = async (): Promise<void> => {
        const range = await kv.list(kvKeys.anchorPrefix);
        if (!isRunning) {
            return;
        }
        stopWatch();
        clearTimeout(timer);
        timer = setTimeout(() => void listAndWatch(), range.isErr ? RETRY_DELAY_MS : RELIST_INTERVAL_MS);
        if (range.isErr) {
            return;
        }
        push(toAnchorsInput(true, range.value.pairs));
        stopWatch = kv.watch(kvKeys.anchorPrefix, range.value.revision + 1, {
            onEvents: events => push(toAnchorsInput(false, events)),
            onEnd: () => {
                clearTimeout(timer);
                timer = setTimeout(() => void listAndWatch(), RETRY_DELAY_MS);
            },
        });
    };

    return {
        start: (): void => {
            if (!isRunning) {
                isRunning = true;
                void listAndWatch();
            }
        },
        stop: (): void => {
            isRunning = false;
            clearTimeout(timer);
            stopWatch();
        },
    };
};
