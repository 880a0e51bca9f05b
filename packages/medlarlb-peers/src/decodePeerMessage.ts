import { decodeList } from "./decodeList.js";
import { describeFault } from "./describeFault.js";
import type { PeerMessage } from "./peerMessage.js";
import { gossipEntrySchema } from "./schemas/gossipEntrySchema.js";
import { messageSchemas } from "./schemas/messageSchemas.js";
import { targetObservationSchema } from "./schemas/targetObservationSchema.js";

type Fields = Record<string, unknown>;

/** Schemas of the members of lists that are used also if some of their members can't be read. */
const memberSchemas = { rumours: gossipEntrySchema, observations: targetObservationSchema };

const isKnownKind = (kind: string): kind is PeerMessage["kind"] => Object.hasOwn(messageSchemas, kind);

/**
 * Decodes a message, or returns undefined if it can't be read. `onBroken` is called with the reason then, and for each member of a
 * list that is left out.
 */
export const decodePeerMessage = (message: { kind: string }, onBroken: (reason: string) => void): PeerMessage | undefined => {
    const { kind } = message;
    if (!isKnownKind(kind)) {
        onBroken("the kind isn't known");
        return undefined;
    }
    const decoded = messageSchemas[kind].safeParse(message);
    if (!decoded.success) {
        onBroken(describeFault(decoded.error));
        return undefined;
    }
    const fields = decoded.data as Fields;
    for (const [name, schema] of Object.entries(memberSchemas)) {
        const list = fields[name];
        if (Array.isArray(list)) {
            fields[name] = decodeList<unknown>(list, schema, reason => onBroken(`an entry of ${name} is left out: ${reason}`));
        }
    }
    return { kind, ...fields } as PeerMessage;
};
