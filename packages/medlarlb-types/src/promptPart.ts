/** A part of a prompt that requests may share. */
export interface PromptPart {
    id: string;
    tokens: number;
}
