/** Numbers that each era of the store may give out; with eras, they stay within the safe integers. */
const NUMBERS_PER_ERA = 2 ** 40;
const MAX_ERA = 8_190;
/** Largest number of changes between two messages. A false revision above it would have all true ones refused as older. */
const MAX_REVISION_STEP = 2 ** 32;

const isEra = (era: number): boolean => Number.isInteger(era) && era >= 0 && era <= MAX_ERA;

/**
 * Joins revisions of the platform's store with the era in which the store gave them out. A store that comes
 * back from an older copy begins a new era and gives them out again; joined, those of a later era are higher and never equal.
 * A store that names no era has only the era 0, whose numbers stay as they are.
 */
export const storeEras = {
    isEra,
    join: (era: number, number: number): number => {
        if (!isEra(era) || number < 0 || number >= NUMBERS_PER_ERA) {
            throw new RangeError(`the number ${number} of the store's era ${era} is out of range`);
        }
        return era * NUMBERS_PER_ERA + number;
    },
    eraOf: (joined: number): number => Math.floor(joined / NUMBERS_PER_ERA),
    /** Returns whether a joined revision may follow a known one. */
    mayFollow: (revision: number, known: number): boolean => revision <= known + MAX_REVISION_STEP,
    numberOf: (joined: number): number => joined % NUMBERS_PER_ERA,
} as const;
