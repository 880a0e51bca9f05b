import type { TargetObservation } from "medlarlb-types/targetObservation";
import type { createGatewayDecisions } from "../../createGatewayDecisions.js";
import type { GatewayInput } from "../../gatewayInput.js";
import type { createSettings } from "./createSettings.js";

/** An instance of a virtual service, with its process and its network. */
export interface VirtualServiceInstance {
    index: number;
    zone: string;
    settings: ReturnType<typeof createSettings>;
    decisions: ReturnType<typeof createGatewayDecisions>;
    inputs: GatewayInput[];
    /** Observations that it has published or got by gossip. */
    known: { observations: TargetObservation[]; atMs: number }[];
    /** Time at which each target first told it of a limit. */
    toldAtMs: Map<string, number>;
    isPaused: boolean;
    isCut: boolean;
    /** Start of the process. What was under way for an earlier one is lost. */
    boot: number;
    /** Latest time at which it was restarted, paused or cut off. */
    disturbedAtMs: number;
}
