import type { InstanceId } from "medlarlb-types/instanceId";
import type { StreamOrigin } from "medlarlb-types/streamOrigin";
import type { GatewayContext } from "../gatewayContext.js";
import { describeOrigin } from "./describeOrigin.js";
import { rankOriginHolders } from "./rankOriginHolders.js";

/** Number of other instances that hold a stream's origin, in two zones if there are any. */
const HOLDERS = 2;

/** Tells the instances that hold the origins of streams about them, in one message each. */
export const tellOrigins = (context: GatewayContext, requestIds: readonly string[]): void => {
    const messages = new Map<InstanceId, StreamOrigin[]>();
    for (const requestId of requestIds) {
        const known = context.streamOrigins.get(requestId);
        if (known !== undefined) {
            known.isTold = true;
            rankOriginHolders(context, requestId).slice(0, HOLDERS)
                .forEach(({ id }) => messages.set(id, [...messages.get(id) ?? [], describeOrigin(context, requestId, known)]));
        }
    }
    messages.forEach((origins, to) => context.commands.push({ kind: "shareOrigins", to, origins }));
};
