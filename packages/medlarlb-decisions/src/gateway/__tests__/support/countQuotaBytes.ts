import type { GatewayInput } from "../../gatewayInput.js";

/** Returns the bytes of a message that quotas need: all, or those that a status has more than without a lent share. */
export const countQuotaBytes = (input: GatewayInput, message: object, countBytes: (message: object) => number): number => {
    if (input.kind !== "status") {
        return countBytes(message);
    }
    const status = { ...input.status };
    delete status.lent;
    return countBytes(message) - countBytes({ kind: "status", status });
};
