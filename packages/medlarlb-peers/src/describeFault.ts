import type { z } from "zod";

/** Names the first field that a schema refuses, and the reason. */
export const describeFault = ({ issues: [issue] }: z.ZodError): string =>
    `the field ${issue?.path.join(".") ?? ""} can't be read: ${issue?.message ?? "unknown reason"}`;
