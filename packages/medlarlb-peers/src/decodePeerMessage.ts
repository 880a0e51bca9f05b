import { gossipEntryCheck } from "./checks/gossipEntryCheck.js";
import { messageChecks } from "./checks/messageChecks.js";
import { targetObservationCheck } from "./checks/targetObservationCheck.js";
import { decodeList } from "./decodeList.js";
import type { PeerMessage } from "./peerMessage.js";

type Fields = Record<string, unknown>;

/** Checks of the members of lists that are used also if some of their members can't be read. */
const memberChecks = { rumours: gossipEntryCheck, observations: targetObservationCheck };

const isKnownKind = (kind: string): kind is PeerMessage["kind"] => Object.hasOwn(messageChecks, kind);

/**
 * Decodes a message, or returns undefined if it can't be read. `onBroken` is called with the reason then, and for each member of a
 * list that is left out. Fields of later versions are left out, too.
 */
export const decodePeerMessage = (message: { kind: string }, onBroken: (reason: string) => void): PeerMessage | undefined => {
    const { kind } = message;
    if (!isKnownKind(kind)) {
        onBroken("the kind isn't known");
        return undefined;
    }
    const received = message as Fields;
    const fields: Fields = { kind };
    for (const [name, check] of Object.entries(messageChecks[kind])) {
        const value = received[name];
        const fault = check(value, name);
        if (fault !== undefined) {
            onBroken(`the field ${fault} can't be read`);
            return undefined;
        }
        if (value !== undefined) {
            fields[name] = value;
        }
    }
    for (const [name, check] of Object.entries(memberChecks)) {
        const list = fields[name];
        if (Array.isArray(list)) {
            fields[name] = decodeList(list, check, path => onBroken(`a member of ${name} is left out: the field ${path} can't be read`));
        }
    }
    return fields as PeerMessage;
};
