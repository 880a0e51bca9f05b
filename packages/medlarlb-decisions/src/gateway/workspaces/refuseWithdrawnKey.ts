import { failCall } from "../calls/failCall.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { isKeyWithdrawn } from "./isKeyWithdrawn.js";

/**
 * Refuses a waiting call whose key the configuration has withdrawn since it arrived, and returns whether it did. On a public route
 * the call goes on without a workspace.
 */
export const refuseWithdrawnKey = (context: GatewayContext, row: CallRow): boolean => {
    if (!isKeyWithdrawn(context.config, row.metadata)) {
        return false;
    }
    if (row.metadata.route.public === true) {
        row.metadata = { ...row.metadata, workspace: undefined, keyDigest: undefined };
        return false;
    }
    failCall(context, row, "its API key has been withdrawn", undefined, undefined, 401);
    return true;
};
