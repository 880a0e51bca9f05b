import { callerFirstEventTimeoutMs } from "medlarlb-site-adapter/callerFirstEventTimeoutMs";
import { createTargetHeaders } from "medlarlb-site-adapter/createTargetHeaders";
import { digestKey } from "medlarlb-site-adapter/digestKey";
import { readAnswerHeaders } from "medlarlb-site-adapter/readAnswerHeaders";
import { readCallHeaders } from "medlarlb-site-adapter/readCallHeaders";
import { readKeys } from "medlarlb-site-adapter/readKeys";
import type { GatewayAdapter } from "./gatewayAdapter.js";

/** The functions of the users' platform that translate headers. */
export const siteAdapter: GatewayAdapter = {
    callerFirstEventTimeoutMs,
    readCall: readCallHeaders,
    readKeys,
    digestKey: headerValue => digestKey(headerValue, "latin1"),
    createTargetHeaders,
    readAnswer: readAnswerHeaders,
};
