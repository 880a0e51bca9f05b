import type { AnchorDocument } from "medlarlb-types/anchorDocument";
import { brandAs } from "medlarlb-types/brandAs";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import type { ItemId } from "medlarlb-types/itemId";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { createKvClient } from "medlarlb-platform/createKvClient";
import type { KvEvent } from "medlarlb-platform/kvEvent";

const RETRY_MS = 500;
const RELIST_MS = 10_000; // finds a watch that stays open and delivers nothing

type Anchors = Extract<DecisionInput, { kind: "anchors" }>;

const readDocument = (value: string | undefined): AnchorDocument | undefined => {
    try {
        return value === undefined ? undefined : JSON.parse(value) as AnchorDocument;
    }
    catch {
        return undefined;
    }
};

const toAnchors = (complete: boolean, events: KvEvent[]): Anchors => ({
    kind: "anchors",
    complete,
    anchors: events.map(({ key, value, revision }) => ({
        itemId: brandAs<ItemId>(key.slice(kvKeys.anchorPrefix.length)),
        document: readDocument(value),
        revision,
    })),
});

/** Creates the part that follows the anchors in the KV service. Only a planner runs it. */
export const createAnchorSync = (kv: ReturnType<typeof createKvClient>, push: (input: Anchors) => void) => {
    let stopWatch: () => void = () => undefined;
    let timer: NodeJS.Timeout | undefined;
    let running = false;

    const list = async (): Promise<void> => {
        const range = await kv.list(kvKeys.anchorPrefix);
        if (!running) {
            return;
        }
        stopWatch();
        clearTimeout(timer);
        timer = setTimeout(() => void list(), range.isErr ? RETRY_MS : RELIST_MS);
        if (range.isErr) {
            return;
        }
        push(toAnchors(true, range.value.pairs));
        stopWatch = kv.watch(kvKeys.anchorPrefix, range.value.revision + 1, {
            onEvents: events => push(toAnchors(false, events)),
            onEnd: () => {
                clearTimeout(timer);
                timer = setTimeout(() => void list(), RETRY_MS);
            },
        });
    };

    return {
        start: (): void => {
            if (!running) {
                running = true;
                void list();
            }
        },
        stop: (): void => {
            running = false;
            clearTimeout(timer);
            stopWatch();
        },
    };
};
