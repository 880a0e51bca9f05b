/** Periods of the demand averages: the fast one sees bursts, the slow one remembers what is wanted now and then. */
export const demandTimeConstants = {
    fastMs: 8_000,
    slowMs: 300_000,
};
