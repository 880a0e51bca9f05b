import type { EngineProfile } from "./engineProfile.js";

/** A service of the configuration: its targets are found in the platform's list. */
export interface ServicePool {
    name: string;
    healthPath: string;
    /** Connections that one target accepts from all callers together. */
    maxConnections: number;
    /** Set for services whose targets are model engines. */
    engine: EngineProfile | undefined;
}
