import type { ZoneId } from "./zoneId.js";

/** One entry of the platform's list of instances. The list lags behind what runs. */
export interface ListedInstance {
    id: string;
    role: "daemon" | "target";
    zone: ZoneId;
    /** Peer address of a daemon, or address of a target, as IP number and port. */
    address: string;
    state: "live" | "leaving";
}
