import type { GoneTarget } from "medlarlb-types/goneTarget";

const isGoneTarget = (value: unknown): value is GoneTarget => {
    const { id, agoMs } = (value ?? {}) as Partial<Record<keyof GoneTarget, unknown>>;
    return typeof id === "string" && typeof agoMs === "number" && agoMs >= 0;
};

/** Decodes the targets that have left in a message of another instance. Items that can't be read are left out. */
export const decodeGoneTargets = (value: unknown): GoneTarget[] => (Array.isArray(value) ? value.filter(isGoneTarget) : []);
