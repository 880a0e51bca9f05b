import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { Problem } from "medlarlb-types/problem";
import type { Resource } from "medlarlb-types/resource";
import type { Result } from "true-myth";
import type { createConfigStore } from "../config/createConfigStore.js";
import type { createConfigWriter } from "./createConfigWriter.js";
import type { createWatchCache } from "./createWatchCache.js";
import type { DecisionPosition } from "./decisionPosition.js";

/** Parts of the daemon that the operator API uses. */
export interface OperatorContext {
    bootId: string;
    store: ReturnType<typeof createConfigStore>;
    watchCache: ReturnType<typeof createWatchCache>;
    writeConfig: ReturnType<typeof createConfigWriter>;
    readDecisions: (from: DecisionPosition) => Promise<{ records: DecisionRecord[]; position: DecisionPosition; gone: boolean }>;
    readAudit: () => Promise<Result<Resource[], Problem>>;
    showStatus: () => Record<string, unknown>;
}
