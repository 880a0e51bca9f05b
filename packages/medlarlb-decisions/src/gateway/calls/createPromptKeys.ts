import type { CallMetadata } from "medlarlb-types/callMetadata";

/**
 * Returns the keys under which a target caches the parts of a prompt. A part can be used only after the same parts for the
 * same model and adapter, so that its key includes them.
 */
export const createPromptKeys = ({ model, adapter, promptParts }: CallMetadata): string[] => {
    let key = `${model}/${adapter ?? ""}`;
    return promptParts.map(part => {
        key = `${key}/${part.id}`;
        return key;
    });
};
