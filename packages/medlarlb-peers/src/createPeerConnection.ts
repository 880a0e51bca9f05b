import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { Socket } from "node:net";
import type { InstanceId } from "medlarlb-types/instanceId";
import { brandAs } from "medlarlb-types/brandAs";
import { decodePeerMessage } from "./decodePeerMessage.js";
import { createFrameDecoder } from "./createFrameDecoder.js";
import { encodeFrame } from "./encodeFrame.js";
import { peerLimits } from "./peerLimits.js";
import type { PeerMessage } from "./peerMessage.js";

interface ConnectionHandlers {
    /** Called once the other side has proved that it knows the shared key. */
    onReady: (peerId: InstanceId) => void;
    onMessage: (peerId: InstanceId, message: PeerMessage) => void;
    /** Called with the first message of each kind that can't be read, or that holds a list of which a part can't. */
    onBroken: (peerId: InstanceId, kind: string, reason: string) => void;
    /** `fault` is undefined when the connection was closed in order, or because it was idle. */
    onClose: (fault: string | undefined) => void;
    onSent: (bytes: number) => void;
}

interface ConnectionIdentity {
    id: string;
    bootId: string;
    key: string;
}

const NONCE_BYTES = 16;
/** Kinds of unreadable messages that one connection reports, so that it can't fill the log. */
const MAX_BROKEN_KINDS = 32;

const createMac = (key: string, nonce: string, id: string): Buffer => createHmac("sha256", key).update(`${nonce}/${id}`).digest();

const isExpectedMac = (expected: Buffer, given: string): boolean => {
    const bytes = Buffer.from(given, "base64");
    return bytes.length === expected.length && timingSafeEqual(expected, bytes);
};

/**
 * Creates one connection between instances. Both sides prove with a fresh nonce that they know the shared key before
 * any other message is handled. A malformed or hostile frame closes only this connection, and a message that can't be read
 * after the handshake is dropped.
 */
export const createPeerConnection = (socket: Socket, self: ConnectionIdentity, handlers: ConnectionHandlers) => {
    const nonce = randomBytes(NONCE_BYTES).toString("base64");
    let peerId: InstanceId | undefined;
    let ready = false;
    let closed = false;
    const brokenKinds = new Set<string>();

    const close = (fault?: string): void => {
        if (!closed) {
            closed = true;
            socket.destroy();
            handlers.onClose(fault);
        }
    };

    const sendMessage = (message: PeerMessage): boolean => {
        if (closed || socket.writableLength > peerLimits.maxQueuedBytes) {
            return false;
        }
        const frame = encodeFrame(message);
        socket.write(frame);
        handlers.onSent(frame.length);
        return true;
    };

    const handleHello = (message: Extract<PeerMessage, { kind: "hello" }>): void => {
        if (message.protocol !== peerLimits.protocol) {
            close(`the peer speaks protocol ${message.protocol}, this instance ${peerLimits.protocol}`);
            return;
        }
        peerId = brandAs<InstanceId>(message.id);
        sendMessage({ kind: "proof", mac: createMac(self.key, message.nonce, self.id).toString("base64") });
    };

    const handleProof = (message: Extract<PeerMessage, { kind: "proof" }>): void => {
        if (peerId === undefined || !isExpectedMac(createMac(self.key, nonce, peerId), message.mac)) {
            close("the peer doesn't know the shared key; set the same [peer] key on all instances");
            return;
        }
        ready = true;
        clearTimeout(handshakeTimer);
        handlers.onReady(peerId);
    };

    const reportBroken = (kind: string, reason: string): void => {
        if (!ready || peerId === undefined) {
            close(`the handshake can't be read: ${reason}`);
            return;
        }
        if (!brokenKinds.has(kind) && brokenKinds.size < MAX_BROKEN_KINDS) {
            brokenKinds.add(kind);
            handlers.onBroken(peerId, kind, reason);
        }
    };

    const handleFrame = (frame: { kind: string }): void => {
        const message = decodePeerMessage(frame, reason => reportBroken(frame.kind, reason));
        if (message !== undefined) {
            handleMessage(message);
        }
    };

    const handleMessage = (message: PeerMessage): void => {
        if (message.kind === "hello" && peerId === undefined) {
            handleHello(message);
        }
        else if (message.kind === "proof" && !ready) {
            handleProof(message);
        }
        else if (ready && peerId !== undefined) {
            handlers.onMessage(peerId, message);
        }
        else {
            close("a message came before the handshake");
        }
    };

    const handshakeTimer = setTimeout(() => close("the handshake took too long"), peerLimits.handshakeTimeoutMs);
    const decodeChunk = createFrameDecoder(peerLimits.maxFrameBytes, handleFrame);
    socket.setNoDelay(true);
    socket.setTimeout(peerLimits.idleMs, () => close());
    socket.on("data", chunk => {
        try {
            decodeChunk(chunk as Buffer);
        }
        catch (err) {
            close((err as Error).message);
        }
    });
    socket.on("error", err => close(err.message));
    socket.on("close", () => {
        clearTimeout(handshakeTimer);
        close();
    });
    sendMessage({ kind: "hello", protocol: peerLimits.protocol, id: self.id, bootId: self.bootId, nonce });
    return { send: sendMessage, close, isReady: () => ready };
};
