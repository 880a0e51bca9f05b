const LEASE_MS = 30_000;

/** Simulates the store's list of instances, whose entries end with their leases. An outage lets leases pause or expire. */
export const createVirtualRegistry = (now: () => number) => {
    const expiresAtMs = new Map<string, number>();
    let version = 1;
    let listed: readonly string[] = [];
    let downUntilMs = 0;

    const publish = (): void => {
        version += 1;
        listed = [...expiresAtMs.keys()];
    };

    return {
        isUp: (): boolean => now() >= downUntilMs,
        version: (): number => version,
        listed: (): readonly string[] => listed,
        /** Adds an entry or renews it. */
        register: (id: string): void => {
            const isNew = !expiresAtMs.has(id);
            expiresAtMs.set(id, now() + LEASE_MS);
            if (isNew) {
                publish();
            }
        },
        remove: (id: string): void => {
            if (expiresAtMs.delete(id)) {
                publish();
            }
        },
        /** Takes the store away for a time. */
        stop: (durationMs: number, pausesLeases: boolean): void => {
            downUntilMs = now() + durationMs;
            if (pausesLeases) {
                expiresAtMs.forEach((atMs, id) => expiresAtMs.set(id, atMs + durationMs));
            }
        },
        removeExpired: (): void => {
            const expired = [...expiresAtMs].filter(([, atMs]) => atMs <= now());
            expired.forEach(([id]) => expiresAtMs.delete(id));
            if (expired.length > 0) {
                publish();
            }
        },
    };
};
