/** How one setting is read. A setting without default has to be given. */
export interface SettingRule {
    section: string;
    key: string;
    kind: "name" | "address" | "url" | "number" | "secret" | "optionalAddress" | "optionalAddresses" | "routingPolicy";
    defaultValue?: string;
    /** What to write, for the message about a wrong or missing value. */
    remedy: string;
}
