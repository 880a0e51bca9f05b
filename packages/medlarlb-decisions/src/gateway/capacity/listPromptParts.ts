import type { CallAttempt } from "../rows/callAttempt.js";
import type { CallRow } from "../rows/callRow.js";

/** Lists the parts of a call's prompt with the keys by which engines keep them. */
export const listPromptParts = ({ metadata, promptKeys }: CallRow): CallAttempt["promptParts"] =>
    metadata.promptParts.flatMap(({ tokens }, index) => {
        const key = promptKeys[index];
        return key === undefined ? [] : [{ key, tokens }];
    });
