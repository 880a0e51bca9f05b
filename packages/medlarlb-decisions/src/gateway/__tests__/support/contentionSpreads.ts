type Draw = (random: () => number) => number;

const drawFrom = (first: number, count: number): Draw => random => first + Math.floor(random() * count);

/** Ways in which urgent and other requests may enter a number of instances. */
export const contentionSpreads: { name: string; urgent: (instances: number) => Draw; others: (instances: number) => Draw }[] = [
    { name: "urgent ones at one instance and others at the rest", urgent: () => () => 0, others: count => drawFrom(1, count - 1) },
    { name: "urgent ones everywhere and others at one instance", urgent: count => drawFrom(0, count), others: count => () => count - 1 },
    { name: "each kind at one instance", urgent: () => () => 1, others: () => () => 0 },
    {
        name: "each kind at a half of the instances",
        urgent: count => drawFrom(0, count >> 1),
        others: count => drawFrom(count >> 1, count - (count >> 1)),
    },
    { name: "both kinds everywhere", urgent: count => drawFrom(0, count), others: count => drawFrom(0, count) },
];
