import type { CallMetadata } from "medlarlb-types/callMetadata";

/** Returns how much work a request is for its target: the tokens that an engine reads and writes, or 1 for a plain service. */
export const workUnits = ({ model, promptTokens, expectedTokens }: Pick<CallMetadata, "model" | "promptTokens" | "expectedTokens">): number =>
    (model === undefined ? 1 : Math.max(1, promptTokens + expectedTokens));
