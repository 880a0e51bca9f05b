import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";
import { describeOrigin } from "./describeOrigin.js";
import { expireOrigins } from "./expireOrigins.js";

/** Tells an instance that asks for the origin of a stream what this one knows of it. */
export const applyOriginRequest = (context: GatewayContext, from: InstanceId, requestId: string): void => {
    expireOrigins(context);
    const known = context.streamOrigins.get(requestId);
    if (known !== undefined) {
        context.commands.push({ kind: "shareOrigins", to: from, origins: [describeOrigin(context, requestId, known)] });
    }
};
