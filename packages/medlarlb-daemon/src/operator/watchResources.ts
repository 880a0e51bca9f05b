import type { IncomingMessage, ServerResponse } from "node:http";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { ResourceKind } from "medlarlb-types/resourceKind";
import { sendProblem } from "../caller/sendProblem.js";
import { decodeWatchToken } from "./decodeWatchToken.js";
import { encodeWatchToken } from "./encodeWatchToken.js";
import { watchExpiredProblem } from "./watchExpiredProblem.js";
import type { OperatorContext } from "./operatorContext.js";

/**
 * Serves a watch of resources as one line of JSON for each change. Without a valid resource version, the watch begins with the
 * current state of every resource of the kind. It does so too if the version comes from another instance, or from before this one
 * restarted. The resources that were deleted from the configuration since that version then follow.
 */
export const watchResources = (
    context: OperatorContext,
    req: IncomingMessage,
    res: ServerResponse,
    kind: ResourceKind,
    from: string,
): void => {
    const { watchCache, store } = context;
    const token = decodeWatchToken(from);
    const tokenAt = (sequence: number): string => encodeWatchToken({ revision: store.revision(), bootId: context.bootId, sequence });
    const writeLine = (type: string, object: unknown, sequence: number): void => {
        res.write(`${JSON.stringify({ type, resourceVersion: tokenAt(sequence), object })}\n`);
    };

    const isSameBoot = token !== undefined && token.bootId === context.bootId;
    if (isSameBoot && watchCache.after(kind, token.sequence) === undefined) {
        sendProblem(res, watchExpiredProblem);
        return;
    }
    const configChanges = token === undefined || isSameBoot ? undefined : store.since(token.revision);
    if (configChanges !== undefined && configChanges.base === 0 && token !== undefined && token.revision !== configChanges.revision) {
        sendProblem(res, watchExpiredProblem);
        return;
    }
    res.writeHead(200, { "content-type": "application/x-ndjson" });
    res.flushHeaders();
    const listed = watchCache.list(kind);
    let lastSequence = isSameBoot ? token.sequence : listed.sequence;
    if (!isSameBoot) {
        const type = token === undefined ? "ADDED" : "MODIFIED";
        listed.items.forEach(object => writeLine(type, object, lastSequence));
        const prefix = kvKeys.kindPrefix(kind);
        const deleted = configChanges?.entries.filter(entry => entry.value === undefined && entry.key.startsWith(prefix)) ?? [];
        deleted.forEach(entry => writeLine("DELETED", { kind, name: entry.key.slice(prefix.length) }, lastSequence));
    }
    const sendNewEvents = (): void => {
        const events = watchCache.after(kind, lastSequence);
        if (events === undefined) {
            writeLine("ERROR", watchExpiredProblem, lastSequence);
            res.end();
            return;
        }
        for (const event of events) {
            lastSequence = event.sequence;
            writeLine(event.type, event.object, lastSequence);
        }
    };
    sendNewEvents();
    const stopListening = watchCache.onScan(sendNewEvents);
    req.on("close", stopListening);
    res.on("close", stopListening);
};
