import type { CallMetadata } from "medlarlb-types/callMetadata";

/** Returns the name under which a request's use is counted. Requests without a workspace share one. */
export const workspaceName = ({ workspace }: Pick<CallMetadata, "workspace">): string => workspace?.name ?? "";
