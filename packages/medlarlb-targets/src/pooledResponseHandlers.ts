import type { ConnectionHistory } from "./connectionHistory.js";

/** Callbacks of a request on a pooled connection. The last call is either `onEnd` or `onFailure`, unless the request is aborted. */
export interface PooledResponseHandlers {
    /** Called before `onHead` for each answer that belongs to another request. It is dropped, nothing else is read from it. */
    onForeignAnswer: (status: number, answerId: string | undefined, connection: ConnectionHistory) => void;
    onHead: (status: number, headers: Record<string, string | string[] | undefined>, connection: ConnectionHistory) => void;
    /** Returns whether the next chunk may follow at once. Otherwise delivery pauses until `resume` of the request is called. */
    onChunk: (chunk: Buffer) => boolean;
    /** `endedWithConnection`: the answer has no length, so that only the end of its connection shows that it is whole. */
    onEnd: (endedWithConnection: boolean) => void;
    /** `sent`: whether any byte of the request may have reached the target. `malformed`: whether the response wasn't valid HTTP. */
    onFailure: (failure: { sent: boolean; malformed: boolean; reason: string }) => void;
}
