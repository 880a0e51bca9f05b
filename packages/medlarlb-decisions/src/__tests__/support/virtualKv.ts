import type { KvWrite } from "medlarlb-types/kvWrite";
import type { KvWriteOutcome } from "medlarlb-types/kvWriteOutcome";

/** Creates a KV service in memory with compare-and-swap and one revision for all keys. */
export const createVirtualKv = () => {
    const keys = new Map<string, { value: string; revision: number }>();
    const listeners: ((key: string, value: string | undefined, revision: number) => void)[] = [];
    let revision = 100;
    return {
        keys,
        nextRevision: (): number => {
            revision += 1;
            return revision;
        },
        onChange: (listener: (typeof listeners)[number]): void => {
            listeners.push(listener);
        },
        write: (write: KvWrite): KvWriteOutcome => {
            const isCurrent = write.compares.every(({ key, revision: expected }) => (keys.get(key)?.revision ?? 0) === expected);
            if (!isCurrent) {
                return {
                    kind: "conflict",
                    current: write.compares.map(({ key }) => ({ key, revision: 0, ...keys.get(key) })),
                };
            }
            revision += 1;
            for (const { key, value } of write.puts) {
                keys.set(key, { value, revision });
                listeners.forEach(listener => listener(key, value, revision));
            }
            return { kind: "committed", revision };
        },
    };
};
