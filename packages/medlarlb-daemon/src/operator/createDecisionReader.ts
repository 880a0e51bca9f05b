import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import type { createDecisionHistory } from "./createDecisionHistory.js";
import type { DecisionPosition } from "./decisionPosition.js";

interface DecisionReaderOptions {
    selfId: InstanceId;
    bootId: string;
    decisionHistory: ReturnType<typeof createDecisionHistory>;
    peers: ReturnType<typeof createPeerGroup>;
}

interface ReadDecisions {
    records: DecisionRecord[];
    position: DecisionPosition;
    /** Whether some decisions after the given position have been dropped. */
    gone: boolean;
}

const compareRecords = (a: DecisionRecord, b: DecisionRecord): number =>
    a.atMs - b.atMs || (a.instance === b.instance ? a.sequence - b.sequence : 0);

/** Creates the function that reads the decisions of all instances after a position, oldest first. */
export const createDecisionReader = (options: DecisionReaderOptions) => {
    const readInstance = async (id: InstanceId, after: number) =>
        (id === options.selfId
            ? { bootId: options.bootId, ...options.decisionHistory.after(after) }
            : options.peers.pullDecisions(id, after));

    const readNewDecisions = async (id: InstanceId, position: DecisionPosition): Promise<Omit<ReadDecisions, "position">> => {
        const lastRead = position.get(id);
        let response = await readInstance(id, lastRead?.sequence ?? 0);
        if (response !== undefined && lastRead !== undefined && response.bootId !== lastRead.bootId) {
            response = await readInstance(id, 0);
            position.delete(id);
        }
        if (response === undefined) {
            return { records: [], gone: false };
        }
        const lastSequence = response.records.at(-1)?.sequence ?? position.get(id)?.sequence ?? 0;
        const gone = lastRead !== undefined && position.has(id) && response.oldest > lastRead.sequence;
        position.set(id, { bootId: response.bootId, sequence: lastSequence });
        return { records: response.records, gone };
    };

    return async (from: DecisionPosition): Promise<ReadDecisions> => {
        const position: DecisionPosition = new Map(from);
        const ids = options.peers.alive().map(row => row.id);
        const results = await Promise.all(ids.map(id => readNewDecisions(id, position)));
        const records = results.flatMap(result => result.records).sort(compareRecords);
        return { records, position, gone: results.some(result => result.gone) };
    };
};
