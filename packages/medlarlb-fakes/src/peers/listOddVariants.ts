/** Null as it comes out of a document or message. */
const nothing: unknown = JSON.parse("null");

/** Values that few fields can have. */
const oddValues: readonly unknown[] = [undefined, nothing, true, 7, -1, 0.5, Number.NaN, Number.NEGATIVE_INFINITY, 1e308, 10n ** 18n, "", "x y", "__proto__", [], [nothing], {}, { key: 7 }];

const listOddMembers = (value: unknown): unknown[] => {
    if (Array.isArray(value)) {
        return value.flatMap((each, index) => listOddVariants(each).map(odd => value.with(index, odd)));
    }
    if (typeof value === "object" && value !== nothing) {
        return Object.entries(value as object).flatMap(([name, each]) => listOddVariants(each).map(odd => ({ ...value, [name]: odd })));
    }
    return [];
};

/** Lists variants of a value in each of which one part at any depth is missing or odd. */
export const listOddVariants = (value: unknown): unknown[] => [...oddValues, ...listOddMembers(value)];
