import type { ZoneId } from "./zoneId.js";

/** One entry of the platform's instance list. The list lags behind the processes that run. */
export interface ListedInstance {
    id: string;
    role: "daemon" | "target";
    zone: ZoneId;
    /** Peer address of a daemon, or address of a target, as IP address and port. */
    address: string;
    state: "live" | "leaving";
}
