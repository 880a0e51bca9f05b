/** Returns the size of the group of one of many histories: of ten, seven have 6 instances, two have 63 and one has 195. */
export const chooseHistoryGroup = (index: number): { instances: number; targets: number } => {
    if (index % 10 === 9) {
        return { instances: 195, targets: 24 };
    }
    return index % 5 === 3 ? { instances: 63, targets: 9 } : { instances: 6, targets: 3 };
};
