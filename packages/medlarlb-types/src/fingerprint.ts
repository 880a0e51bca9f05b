import type { Brand } from "./brand.js";

/** Digest of a request's body, which is equal for repeats of the same request. */
export type Fingerprint = Brand<string, "Fingerprint">;
