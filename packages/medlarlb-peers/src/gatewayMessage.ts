import type { PeerMessage } from "./peerMessage.js";

/** Messages between gateways, which are the instances that route by the operator's configuration. */
export type GatewayMessage = Extract<PeerMessage, { kind: "status" | "directory" | "directoryChange" | "listWanted" | "pullDirectory" | "digest" | "news" | "wanted" | "observations" | "permitWanted" | "permit" | "streamOrigins" | "originWanted" | "quotaWanted" | "quotaGranted" }>;
