/** Time in ms that a bucket of a retry budget spans at most. */
export const BUCKET_MS = 500;
