import type { PeerMessage } from "./peerMessage.js";

type Decisions = Extract<PeerMessage, { kind: "decisions" }>;

const TIMEOUT_MS = 1_000;

/** Creates the table of open questions for the decisions of members. One without an answer in time gives undefined. */
export const createPendingPulls = () => {
    const open = new Map<number, (decisions: Decisions | undefined) => void>();
    let sequence = 0;
    return {
        ask: (send: (sequence: number) => void): Promise<Decisions | undefined> =>
            new Promise(resolve => {
                sequence += 1;
                const own = sequence;
                open.set(own, resolve);
                send(own);
                setTimeout(() => {
                    open.delete(own);
                    resolve(undefined);
                }, TIMEOUT_MS).unref();
            }),
        take: (decisions: Decisions): void => {
            open.get(decisions.sequence)?.(decisions);
            open.delete(decisions.sequence);
        },
    };
};
