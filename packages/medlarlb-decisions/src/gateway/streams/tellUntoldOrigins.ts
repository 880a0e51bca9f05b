import type { GatewayContext } from "../gatewayContext.js";
import { expireOrigins } from "./expireOrigins.js";
import { tellOrigins } from "./tellOrigins.js";

/** Tells the origins of a service's streams that others didn't need while it had one software version. */
export const tellUntoldOrigins = (context: GatewayContext, service: string): void => {
    expireOrigins(context);
    const untold = [...context.streamOrigins].filter(([, origin]) => origin.service === service && !origin.isTold);
    tellOrigins(context, untold.map(([requestId]) => requestId));
};
