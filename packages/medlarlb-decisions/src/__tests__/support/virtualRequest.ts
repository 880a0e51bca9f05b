import type { VirtualInstance } from "./virtualInstance.js";

/** One request of a history, with its outcome and the number of its executions. */
export interface VirtualRequest {
    requestId: string;
    nonIdempotent: boolean;
    executions: number;
    outcome: { kind: "answered" } | { kind: "refused"; ran: string; status: number } | { kind: "open" };
    sentTo: { instance: VirtualInstance; boot: number };
}
