import { parseAddress } from "medlarlb-types/parseAddress";
import type { Check } from "./check.js";

type Fields = Record<string, unknown>;

/** Versions of configurations may be times in ns. */
const MAX_VERSION = 2 ** 63;
const MAX_AMOUNT = 1e15;
/** Differences of sums of fractions may lie a little below 0. */
const MIN_AMOUNT = -1e-3;

const createCheck = (isSound: (value: unknown) => boolean): Check => (value, path) => (isSound(value) ? undefined : path);

const isNumber = (min: number, max: number) => (value: unknown): boolean => typeof value === "number" && value >= min && value <= max;

const isObject = (value: unknown): value is Fields => typeof value === "object" && Boolean(value) && !Array.isArray(value);

/**
 * Checks of the fields of messages. None allows NaN or an infinite number. They are plain functions, because an instance handles
 * too few messages for the code of a schema library to become fast.
 */
export const checks = {
    any: createCheck(() => true),
    text: createCheck(value => typeof value === "string"),
    id: createCheck(value => typeof value === "string" && value !== ""),
    address: createCheck(value => typeof value === "string" && parseAddress(value) !== undefined),
    flag: createCheck(value => typeof value === "boolean"),
    number: createCheck(value => Number.isFinite(value)),
    positive: createCheck(value => Number.isFinite(value) && Number(value) > 0),
    /** Numbers such as revisions, sequence numbers and times in ms, which have to stay exact when they are counted on. */
    count: createCheck(isNumber(0, Number.MAX_SAFE_INTEGER)),
    version: createCheck(isNumber(0, MAX_VERSION)),
    /** Sums of tokens or requests. */
    amount: createCheck(isNumber(MIN_AMOUNT, MAX_AMOUNT)),
    optional: (check: Check): Check => (value, path) => (value === undefined ? undefined : check(value, path)),
    list: (check: Check): Check => (value, path) => {
        if (!Array.isArray(value)) {
            return path;
        }
        for (let index = 0; index < value.length; index += 1) {
            const fault = check(value[index], path);
            if (fault !== undefined) {
                return fault;
            }
        }
        return undefined;
    },
    tuple: (...members: readonly Check[]): Check => (value, path) =>
        (Array.isArray(value) && value.length === members.length && members.every((check, index) => check(value[index], path) === undefined)
            ? undefined
            : path),
    /** An object with any names, whose values are all alike. */
    record: (check: Check): Check => (value, path) =>
        (isObject(value) && Object.values(value).every(member => check(member, path) === undefined) ? undefined : path),
    object: (fields: Readonly<Record<string, Check>>): Check => {
        const entries = Object.entries(fields);
        return (value, path) => {
            if (!isObject(value)) {
                return path;
            }
            for (const [name, check] of entries) {
                const fault = check(value[name], `${path}.${name}`);
                if (fault !== undefined) {
                    return fault;
                }
            }
            return undefined;
        };
    },
};
