import { createHash } from "node:crypto";
import { brandAs } from "medlarlb-types/brandAs";
import type { Fingerprint } from "medlarlb-types/fingerprint";

interface FingerprintParts {
    method: string;
    host: string;
    /** Path with its query. */
    path: string;
    callerIdentity: string;
    body: Buffer | undefined;
}

/** Length of a fingerprint in characters. With 96 bits, different requests hardly ever have the same one. */
const FINGERPRINT_LENGTH = 16;
const EMPTY_BODY = Buffer.alloc(0);

/** Creates the fingerprint of a caller's request. Ids, deadlines and headers of one connection don't change it. */
export const createFingerprint = ({ method, host, path, callerIdentity, body }: FingerprintParts): Fingerprint => {
    const hash = createHash("sha1").update(JSON.stringify([method, host.toLowerCase(), path, callerIdentity]));
    return brandAs<Fingerprint>(hash.update(body ?? EMPTY_BODY).digest("base64url").slice(0, FINGERPRINT_LENGTH));
};
