import type { Brand } from "./brand.js";

/** Digest of what a request asks for and who asks, which is equal for repeats of the same request. */
export type Fingerprint = Brand<string, "Fingerprint">;
