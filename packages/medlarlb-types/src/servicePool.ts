import type { EngineProfile } from "./engineProfile.js";

/** A service of the configuration. The platform's store holds the entries of its targets. */
export interface ServicePool {
    name: string;
    healthPath: string;
    /** Connections that one target accepts from all callers together. */
    maxConnections: number;
    /** Set for services whose targets are model engines. */
    engine: EngineProfile | undefined;
}
