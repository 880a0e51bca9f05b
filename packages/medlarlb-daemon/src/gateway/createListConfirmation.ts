import { randomInt } from "node:crypto";
import type { InstanceId } from "medlarlb-types/instanceId";

interface ListConfirmationOptions {
    now: () => number;
    /** Returns the instance that this one follows; undefined if it watches the store itself. */
    watcher: () => InstanceId | undefined;
    /** Asks the instance that this one follows to read the store. */
    askWatcher: (watcher: InstanceId, sequence: number) => void;
    /** Has the next call to the store begin soon. */
    hastenRead: () => void;
    /** Called with the time of a question that the watcher has answered. */
    onConfirmed: (askedAtMs: number) => void;
}

/** Time in ms after which an instance reads the store itself because the watcher hasn't answered: its own call may take 400 ms. */
const ANSWER_TIMEOUT_MS = 500;
const MAX_FIRST_SEQUENCE = 2 ** 40;

/**
 * Creates the record of who needs the store's list to be confirmed. A confirmation is a round trip that begins after the need: how
 * long a message was on its way, and so how old its contents are, can't be told from the message.
 */
export const createListConfirmation = ({ now, watcher, askWatcher, hastenRead, onConfirmed }: ListConfirmationOptions) => {
    /** Instances that wait for the next call to the store, with the numbers of their questions. */
    let askers = new Map<InstanceId, number>();
    /** Whether this instance itself needs a call to the store. */
    let isReadNeeded = false;
    /** Question to the watcher that isn't answered yet, and whether another one has to follow it. */
    let question: { sequence: number; askedAtMs: number } | undefined;
    let isQuestionNeeded = false;
    /** It begins at random, since an answer to an earlier process may still be on its way. */
    let sequence = randomInt(MAX_FIRST_SEQUENCE);

    const readInstead = (): void => {
        question = undefined;
        isQuestionNeeded = false;
        isReadNeeded = true;
        hastenRead();
    };

    /** Confirms the list through the watcher that this instance follows, or by a call of its own. */
    const confirm = (): void => {
        if (question !== undefined) {
            isQuestionNeeded = true;
            return;
        }
        const asked = watcher();
        if (asked === undefined) {
            readInstead();
            return;
        }
        sequence += 1;
        isQuestionNeeded = false;
        question = { sequence, askedAtMs: now() };
        askWatcher(asked, sequence);
    };

    return {
        confirm,
        /** Has the store read for an instance that follows this one. */
        readFor: (from: InstanceId, askerSequence: number): void => {
            askers.set(from, askerSequence);
            hastenRead();
        },
        isReadWanted: (): boolean => isReadNeeded || askers.size > 0,
        /** Notes that a call to the store begins, and returns the instances that it answers, with the numbers of their questions. */
        beginRead: (): ReadonlyMap<InstanceId, number> => {
            const answered = askers;
            askers = new Map();
            isReadNeeded = false;
            return answered;
        },
        /** Applies the watcher's answer to a question. Unless this instance knows all that the watcher knew, it reads the store. */
        applyAnswer: (answeredSequence: number | undefined, knowsAll: boolean): void => {
            if (question === undefined || question.sequence !== answeredSequence) {
                return;
            }
            if (!knowsAll) {
                readInstead();
                return;
            }
            onConfirmed(question.askedAtMs);
            question = undefined;
            if (isQuestionNeeded) {
                confirm();
            }
        },
        /** Has the store read if the watcher hasn't answered in time. */
        checkAnswer: (): void => {
            if (question !== undefined && now() - question.askedAtMs >= ANSWER_TIMEOUT_MS) {
                readInstead();
            }
        },
    };
};
