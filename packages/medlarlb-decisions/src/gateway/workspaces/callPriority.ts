import type { CallMetadata } from "medlarlb-types/callMetadata";

/** Returns the rank of a request, 0 for the most urgent: that of its workspace or, without one, that of its route. */
export const callPriority = ({ route, workspace }: Pick<CallMetadata, "route" | "workspace">): number => workspace?.priority ?? route.priority;
