/** Time constants in ms of the moving averages of demand: the fast one follows bursts, the slow one keeps rarely used models. */
export const demandPeriodsMs = { fast: 1_500, slow: 12_000 } as const;
