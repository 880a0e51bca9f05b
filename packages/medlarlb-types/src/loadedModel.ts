/** A model in the memory of a target, with its adapters. */
export interface LoadedModel {
    name: string;
    version: number;
    adapters: string[];
}
