import type { PeerMessage } from "./peerMessage.js";

type Decisions = Extract<PeerMessage, { kind: "decisions" }>;

const TIMEOUT_MS = 1_000;

/** Creates the table of pending requests for the decisions of other members. */
export const createPendingPulls = () => {
    const pending = new Map<number, (decisions: Decisions | undefined) => void>();
    let sequence = 0;
    return {
        /** Sends a request under a new sequence number. Resolves to undefined if no response arrives in time. */
        start: (send: (sequence: number) => void): Promise<Decisions | undefined> =>
            new Promise(resolve => {
                sequence += 1;
                const pullSequence = sequence;
                pending.set(pullSequence, resolve);
                send(pullSequence);
                setTimeout(() => {
                    pending.delete(pullSequence);
                    resolve(undefined);
                }, TIMEOUT_MS).unref();
            }),
        /** Resolves the request to which a response belongs. */
        complete: (decisions: Decisions): void => {
            pending.get(decisions.sequence)?.(decisions);
            pending.delete(decisions.sequence);
        },
    };
};
