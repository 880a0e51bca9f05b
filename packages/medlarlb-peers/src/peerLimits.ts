/** Limits of the peer protocol. */
export const peerLimits = {
    /** Version of the protocol. Instances refuse connections of any other version. */
    protocol: 3,
    maxFrameBytes: 4 * 1_024 * 1_024,
    /** Bytes that may be queued on a connection before further messages are dropped. */
    maxQueuedBytes: 1_024 * 1_024,
    handshakeTimeoutMs: 2_000,
    connectTimeoutMs: 1_000,
    /** Time in ms before another connection is opened to a peer that was not reached. */
    reconnectDelayMs: 500,
    /** Time without a byte after which a connection is closed. The next message opens a new one. */
    idleMs: 10_000,
};
