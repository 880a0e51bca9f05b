import type { Fingerprint } from "medlarlb-types/fingerprint";

/** Parts of prompts under which targets ended. Of several, none has been seen without the others, so that only all together are blamed. */
export interface BlamedParts {
    keys: Fingerprint[];
    endedTargets: number;
}
