import type { DecisionRecord } from "medlarlb-types/decisionRecord";

const KEPT_RECORD_COUNT = 10_000;

/** Creates the bounded history of this instance's own decisions. */
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
        /** Records after a sequence number, and the last number that is gone. */
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
