/** One key of the configuration at a revision. A deleted key has no value. */
export interface ConfigEntry {
    key: string;
    value?: string;
    revision: number;
}
