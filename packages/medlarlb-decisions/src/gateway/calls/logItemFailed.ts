import { describeError } from "medlarlb-types/describeError";
import type { GatewayContext } from "../gatewayContext.js";
import { logEvent } from "./logEvent.js";

/** Logs that an input, or what it left to be cleaned up, was dropped because of an error. */
export const logItemFailed = (context: GatewayContext, kind: string, err: unknown, fields: Record<string, unknown> = {}): void =>
    logEvent(context, "itemFailed", { item: "input", kind, ...fields, ...describeError(err) });
