import type { Brand } from "./brand.js";

/** Digest of the body of a request, equal for repeats of the same request. */
export type Fingerprint = Brand<string, "Fingerprint">;
