import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import type { createDecisionHistory } from "./createDecisionHistory.js";
import type { DecisionPosition } from "./decisionPosition.js";

interface ReaderOptions {
    selfId: InstanceId;
    bootId: string;
    feed: ReturnType<typeof createDecisionHistory>;
    peers: ReturnType<typeof createPeerGroup>;
}

interface ReadDecisions {
    records: DecisionRecord[];
    position: DecisionPosition;
    /** Whether some decisions since the given place are gone. */
    gone: boolean;
}

const compareRecords = (a: DecisionRecord, b: DecisionRecord): number =>
    a.atMs - b.atMs || (a.instance === b.instance ? a.sequence - b.sequence : 0);

/** Creates the function that reads the decisions of all instances after a place, oldest first. */
export const createDecisionReader = (options: ReaderOptions) => {
    const readMember = async (id: InstanceId, after: number) =>
        (id === options.selfId
            ? { bootId: options.bootId, ...options.feed.after(after) }
            : options.peers.pullDecisions(id, after));

    const readOne = async (id: InstanceId, position: DecisionPosition): Promise<Omit<ReadDecisions, "position">> => {
        const known = position.get(id);
        let answer = await readMember(id, known?.sequence ?? 0);
        if (answer !== undefined && known !== undefined && answer.bootId !== known.bootId) {
            answer = await readMember(id, 0);
            position.delete(id);
        }
        if (answer === undefined) {
            return { records: [], gone: false };
        }
        const last = answer.records.at(-1)?.sequence ?? position.get(id)?.sequence ?? 0;
        const gone = known !== undefined && position.has(id) && answer.oldest > known.sequence;
        position.set(id, { bootId: answer.bootId, sequence: last });
        return { records: answer.records, gone };
    };

    return async (from: DecisionPosition): Promise<ReadDecisions> => {
        const position: DecisionPosition = new Map(from);
        const ids = options.peers.alive().map(row => row.id);
        const parts = await Promise.all(ids.map(id => readOne(id, position)));
        const records = parts.flatMap(part => part.records).sort(compareRecords);
        return { records, position, gone: parts.some(part => part.gone) };
    };
};
