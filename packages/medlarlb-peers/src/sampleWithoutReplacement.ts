/** Picks up to `count` items at random. No item is picked twice. */
export const sampleWithoutReplacement = <Item>(items: readonly Item[], count: number, random: () => number): Item[] => {
    const remaining = [...items];
    const sample: Item[] = [];
    while (sample.length < count && remaining.length > 0) {
        sample.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
    }
    return sample;
};
