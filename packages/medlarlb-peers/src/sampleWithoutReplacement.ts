/** Picks some items at random, each at most once. */
export const sampleWithoutReplacement = <Item>(items: readonly Item[], count: number, random: () => number): Item[] => {
    const remaining = [...items];
    const chosen: Item[] = [];
    while (chosen.length < count && remaining.length > 0) {
        chosen.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
    }
    return chosen;
};
