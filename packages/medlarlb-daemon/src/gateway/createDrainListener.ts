import type { Writable } from "node:stream";

/** Creates a function that has `onDrain` called once when a stream takes more, however often it is called until then. */
export const createDrainListener = (onDrain: () => void) => {
    let isWaiting = false;
    return (stream: Pick<Writable, "once">): void => {
        if (isWaiting) {
            return;
        }
        isWaiting = true;
        stream.once("drain", () => {
            isWaiting = false;
            onDrain();
        });
    };
};
