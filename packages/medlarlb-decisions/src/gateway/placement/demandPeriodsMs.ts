/** Times in ms over which demand averages forget: fast enough for a burst, slow enough for a rare model. */
export const demandPeriodsMs = { fast: 1_500, slow: 12_000 } as const;
