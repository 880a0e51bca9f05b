import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { LoadDigest } from "medlarlb-types/loadDigest";
import * as z from "zod/mini";
import { fieldSchemas } from "./fieldSchemas.js";

type Fields = Record<string, unknown>;

const { minAmount, maxAmount } = fieldSchemas;

const isAmount = (value: unknown): boolean => typeof value === "number" && value >= minAmount && value <= maxAmount;

const isObject = (value: unknown): value is Fields => typeof value === "object" && Boolean(value) && !Array.isArray(value);

const areRuns = (value: unknown): boolean => {
    if (!isObject(value)) {
        return false;
    }
    for (const model in value) {
        if (!isAmount(value[model])) {
            return false;
        }
    }
    return true;
};

const isDigestLoad = (value: unknown): boolean =>
    isObject(value)
    && typeof value["targetId"] === "string"
    && isAmount(value["backlogTokens"])
    && isAmount(value["running"])
    && (value["contextTokens"] === undefined || isAmount(value["contextTokens"]));

const isStatusLoad = (value: unknown): boolean =>
    isDigestLoad(value)
    && areRuns((value as Fields)["runs"])
    && ((value as Fields)["wantsMemory"] === undefined || typeof (value as Fields)["wantsMemory"] === "boolean");

/**
 * Schemas of the load on targets. Most of what instances receive are these lists, and checks in place take a fifth of the time of
 * schemas of their members.
 */
export const loadSchemas = {
    status: z.custom<InstanceStatus["loads"]>(value => Array.isArray(value) && value.every(isStatusLoad), "not a list of loads"),
    digest: z.custom<LoadDigest["loads"]>(value => Array.isArray(value) && value.every(isDigestLoad), "not a list of loads"),
};
