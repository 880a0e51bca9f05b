/** Creates a delay that can be ended early. Only one caller may wait at a time. */
export const createDelay = () => {
    let timer: NodeJS.Timeout | undefined;
    let finish: (() => void) | undefined;

    const end = (): void => {
        clearTimeout(timer);
        finish?.();
        finish = undefined;
    };

    return {
        /** Resolves after a time in ms, or when `end` is called. */
        wait: (ms: number): Promise<void> => new Promise(resolve => {
            finish = resolve;
            timer = setTimeout(end, ms);
        }),
        end,
    };
};
