import type { createApiClient } from "./api/createApiClient.js";

/** What every command gets. */
export interface CommandContext {
    api: ReturnType<typeof createApiClient>;
    /** Whether to print JSON in place of a table. */
    json: boolean;
    print: (text: string) => void;
}
