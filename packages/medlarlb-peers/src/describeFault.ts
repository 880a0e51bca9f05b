import type * as z from "zod/mini";

/** Names the first field that a schema refuses, and the reason. */
export const describeFault = ({ issues: [issue] }: z.core.$ZodError): string =>
    `the field ${issue?.path.join(".") ?? ""} can't be read: ${issue?.message ?? "unknown reason"}`;
