interface Use {
    atMs: number;
    cost: number;
}

/**
 * Returns by how much the use in the worst half-open window exceeds its limit, which may depend on the window. Uses are in the order
 * of their times.
 */
export const countBeyondQuota = (uses: readonly Use[], windowMs: number, limitOf: (beginMs: number, endMs: number) => number): number => {
    let worst = 0;
    let sum = 0;
    let first = 0;
    // The use of a window is most when it ends with a request.
    for (const { atMs, cost } of uses) {
        sum += cost;
        for (let oldest = uses[first]; oldest !== undefined && oldest.atMs <= atMs - windowMs; oldest = uses[first]) {
            sum -= oldest.cost;
            first += 1;
        }
        worst = Math.max(worst, sum - limitOf(atMs - windowMs, atMs) - 1e-6 * sum);
    }
    return worst;
};
