/** Creates a function that calls another one and reports an error that it throws. Without `onError`, the error is thrown on. */
export const createErrorGuard = (onError: ((kind: string, err: unknown) => void) | undefined) =>
    (kind: string, run: () => void): void => {
        try {
            run();
        }
        catch (err) {
            if (onError === undefined) {
                throw err;
            }
            onError(kind, err);
        }
    };
