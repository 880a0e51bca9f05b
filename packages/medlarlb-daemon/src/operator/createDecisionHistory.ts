import type { DecisionRecord } from "medlarlb-types/decisionRecord";

const KEPT_RECORD_COUNT = 10_000; // twice as many are stored before older ones are dropped

/** Creates the bounded history of the decisions that this instance made. */
export const createDecisionHistory = () => {
    let records: DecisionRecord[] = [];
    let lastDropped = 0; // sequence number of the last record that was dropped
    return {
        add: (record: DecisionRecord): void => {
            records.push(record);
            if (records.length > 2 * KEPT_RECORD_COUNT) {
                lastDropped = records[KEPT_RECORD_COUNT - 1]?.sequence ?? lastDropped;
                records = records.slice(KEPT_RECORD_COUNT);
            }
        },
        /** Returns the records after a sequence number, and the sequence number of the last dropped record. */
        after: (sequence: number): { records: DecisionRecord[]; oldest: number } => {
            let low = 0;
            let high = records.length;
            while (low < high) {
                const middle = (low + high) >> 1;
                if ((records[middle]?.sequence ?? 0) > sequence) {
                    high = middle;
                }
                else {
                    low = middle + 1;
                }
            }
            return { records: records.slice(low), oldest: lastDropped };
        },
    };
};
