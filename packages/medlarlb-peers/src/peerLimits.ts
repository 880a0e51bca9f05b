/** Limits of the peer protocol. */
export const peerLimits = {
    protocol: 2,
    maxFrameBytes: 4 * 1_024 * 1_024,
    /** Bytes that may wait on a connection before further messages are dropped. */
    maxQueuedBytes: 1_024 * 1_024,
    handshakeTimeoutMs: 2_000,
    connectTimeoutMs: 1_000,
    /** A connection without a byte for this time is replaced. */
    idleMs: 10_000,
};
