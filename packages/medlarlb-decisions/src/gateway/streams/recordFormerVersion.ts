import type { TargetEntry } from "medlarlb-types/targetEntry";
import type { GatewayContext } from "../gatewayContext.js";

/** Records that an entry, and so perhaps its software version, is no longer listed. */
export const recordFormerVersion = ({ formerVersions, nowMs }: GatewayContext, { service, softwareVersion }: TargetEntry): void => {
    const versions = formerVersions.get(service) ?? new Map<string | undefined, number>();
    versions.set(softwareVersion, nowMs);
    formerVersions.set(service, versions);
};
