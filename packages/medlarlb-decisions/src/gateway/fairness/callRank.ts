import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { GatewayContext } from "../gatewayContext.js";
import { callPriority } from "../workspaces/callPriority.js";
import { LEVEL_COUNT } from "./levelCount.js";
import { workspaceName } from "./workspaceName.js";

/** Returns the rank of a request, 0 for the first: by its priority, and among equals by the recent use of its workspace. */
export const callRank = ({ fairness }: GatewayContext, metadata: Pick<CallMetadata, "route" | "workspace" | "service">): number => {
    const level = fairness.levels.get(metadata.service)?.get(workspaceName(metadata)) ?? 0;
    return callPriority(metadata) * LEVEL_COUNT + level;
};
