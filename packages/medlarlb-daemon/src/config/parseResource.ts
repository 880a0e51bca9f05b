import { adapterSchema } from "medlarlb-types/adapterSchema";
import { modelSchema } from "medlarlb-types/modelSchema";
import { modelVersionSchema } from "medlarlb-types/modelVersionSchema";
import { placementSchema } from "medlarlb-types/placementSchema";
import { serviceSchema } from "medlarlb-types/serviceSchema";
import { targetSchema } from "medlarlb-types/targetSchema";
import { Result } from "true-myth";
import type { ZodType } from "zod";

const schemas: Record<string, ZodType> = {
    models: modelSchema,
    adapters: adapterSchema,
    modelversions: modelVersionSchema,
    services: serviceSchema,
    targets: targetSchema,
    placements: placementSchema,
};

/** Validates the spec of a declared resource and fills in its defaults. The error names each invalid field. */
export const parseResource = (kind: string, spec: unknown): Result<Record<string, unknown>, string> => {
    const parsed = schemas[kind]?.safeParse(spec);
    if (parsed === undefined) {
        return Result.err(`resources of kind ${kind} can't be declared`);
    }
    return parsed.success
        ? Result.ok(parsed.data as Record<string, unknown>)
        : Result.err(parsed.error.issues.map(issue => `spec.${issue.path.join(".")}: ${issue.message}`).join("; "));
};
