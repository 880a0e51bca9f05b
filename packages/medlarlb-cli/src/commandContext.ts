import type { createApiClient } from "./api/createApiClient.js";

/** Client, output format and printer that every command gets. */
export interface CommandContext {
    api: ReturnType<typeof createApiClient>;
    /** Whether to print JSON instead of text for people. */
    json: boolean;
    print: (text: string) => void;
}
