/** Periods of the demand averages: the fast one sees bursts, the slow one keeps occasional demand. */
export const demandTimeConstants = {
    fastMs: 8_000,
    slowMs: 300_000,
};
