/** Requests of a rank that would be at the targets at a time if all were served, of this instance and of the others. */
interface Demand {
    own: number;
    others: number;
}

/**
 * Returns how many requests of a rank this instance may have at the targets at a time, as a mean, or undefined if nothing has to be
 * held back. More urgent ranks take their whole demand before, and instances share what is left in proportion to their demand.
 * `places` is what the targets are to hold of all instances: `shared` for a rank behind others, `alone` for the most urgent one, and
 * `inFlight` what they hold now. The more urgent requests can't be more than that: a demand that was derived from answer times of
 * a busier moment would otherwise keep out the requests whose answers would show that they are shorter now.
 */
export const shareOfRank = (
    demands: ReadonlyMap<number, Demand>,
    rank: number,
    places: { shared: number; alone: number; inFlight: number },
): number | undefined => {
    let moreUrgent = 0;
    for (const [each, { own, others }] of demands) {
        moreUrgent += each < rank ? own + others : 0;
    }
    const { own, others } = demands.get(rank) ?? { own: 0, others: 0 };
    const left = Math.max(0, (moreUrgent === 0 ? places.alone : places.shared) - Math.min(moreUrgent, places.inFlight));
    return own + others <= left ? undefined : left * own / (own + others);
};
