import type { Brand } from "./brand.js";

/** SHA-256 digest, in hexadecimal, of a workspace's API key. Keys themselves are secrets and aren't kept. */
export type KeyDigest = Brand<string, "KeyDigest">;
