/** Time constants of the moving averages of demand: the fast one follows bursts, the slow one retains occasional demand. */
export const demandTimeConstants = {
    fastMs: 8_000,
    slowMs: 300_000,
};
