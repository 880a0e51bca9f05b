/** Picks some items at random, each at most once. */
export const sampleWithoutReplacement = <Item>(items: readonly Item[], count: number, random: () => number): Item[] => {
    const rest = [...items];
    const chosen: Item[] = [];
    while (chosen.length < count && rest.length > 0) {
        chosen.push(...rest.splice(Math.floor(random() * rest.length), 1));
    }
    return chosen;
};
