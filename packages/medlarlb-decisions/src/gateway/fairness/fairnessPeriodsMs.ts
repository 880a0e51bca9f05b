/** Times in ms after which arrivals and use have lost most of their weight. */
export const fairnessPeriodsMs = {
    /** Long enough to count a few requests a second, and short enough to follow a burst within two seconds. */
    arrivals: 1_000,
    /** Longer than the interval of the reports of use, so that workspaces don't take turns with them. */
    used: 4_000,
};
