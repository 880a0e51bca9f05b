import type { GatewayContext } from "../gatewayContext.js";
import { refuseWithdrawnKey } from "./refuseWithdrawnKey.js";

/** Refuses all waiting calls whose keys a new configuration has withdrawn. */
export const refuseWithdrawnKeys = (context: GatewayContext): void => {
    for (const row of [...context.calls.values()].filter(each => each.pool !== undefined)) {
        refuseWithdrawnKey(context, row);
    }
};
