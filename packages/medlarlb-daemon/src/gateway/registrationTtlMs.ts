/**
 * Time to live in ms of an instance's entry. The other instances detect by probes that an instance is gone, so that its entry may stay
 * for a while.
 */
export const REGISTRATION_TTL_MS = 30_000;
