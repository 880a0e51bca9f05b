/** Requests per second of a rank that arrive at this instance, and at the others. */
interface Demand {
    own: number;
    others: number;
}

/**
 * Returns the requests per second of a rank that this instance may send, or undefined if nothing has to be held back. More urgent
 * ranks take their whole demand before, and instances share what is left in proportion to their demand. `perSecond` is what the
 * targets take of all instances: `shared` for a rank behind others, `alone` for the most urgent one.
 */
export const shareOfRank = (
    demands: ReadonlyMap<number, Demand>,
    rank: number,
    perSecond: { shared: number; alone: number },
): number | undefined => {
    let moreUrgent = 0;
    for (const [each, { own, others }] of demands) {
        moreUrgent += each < rank ? own + others : 0;
    }
    const { own, others } = demands.get(rank) ?? { own: 0, others: 0 };
    const left = Math.max(0, (moreUrgent === 0 ? perSecond.alone : perSecond.shared) - moreUrgent);
    return own + others <= left ? undefined : left * own / (own + others);
};
