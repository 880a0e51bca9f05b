interface DeclaredValue {
    spec?: unknown;
    operator?: string;
}

/** Parses the KV value of a declared resource. Returns an empty object for a missing or invalid value. */
export const readDeclared = (value: string | undefined): DeclaredValue => {
    try {
        return value === undefined ? {} : JSON.parse(value) as DeclaredValue;
    }
    catch {
        return {};
    }
};
