import type { createMetadataStoreServer } from "../../site/createMetadataStoreServer.js";

interface VersionEntry {
    id: string;
    address: string | undefined;
    /** Version of the engine's software. */
    version: string;
    /** Time of its start. */
    born: number;
}

/** Writes the entry of an engine of a software version into a store. */
export const writeVersionEntry = (store: ReturnType<typeof createMetadataStoreServer>, { id, ...entry }: VersionEntry): void =>
    store.put(`servers/${id}`, JSON.stringify({ service: "s", zone: "a", slots: 64, state: "ready", models: [], seq: 1, ...entry }));
