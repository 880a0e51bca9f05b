/** Describes how one setting is validated and read. A setting without a default is required. */
export interface SettingRule {
    section: string;
    key: string;
    kind: "name" | "address" | "url" | "number" | "optionalNumber" | "secret" | "optionalAddress" | "anyText" | "routingPolicy";
    defaultValue?: string;
    /** Instruction that is shown with a wrong or missing value. */
    remedy: string;
}
