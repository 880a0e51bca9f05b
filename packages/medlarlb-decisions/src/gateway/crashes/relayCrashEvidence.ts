import type { GatewayContext } from "../gatewayContext.js";
import { listZoneMembers } from "../status/listZoneMembers.js";

/** Passes on the observations from other zones that have arrived since the last status, all in one message. */
export const relayCrashEvidence = (context: GatewayContext): void => {
    const evidence = context.crashes.toRelay.splice(0);
    if (evidence.length > 0) {
        context.commands.push({ kind: "shareCrashEvidence", to: listZoneMembers(context), reporterZone: context.settings.zone, evidence, isOwn: false });
    }
};
