interface DeclaredValue {
    spec?: unknown;
    operator?: string;
}

/** Reads a declared resource's value in the KV service. A value that is missing or broken reads as empty. */
export const readDeclared = (value: string | undefined): DeclaredValue => {
    try {
        return value === undefined ? {} : JSON.parse(value) as DeclaredValue;
    }
    catch {
        return {};
    }
};
