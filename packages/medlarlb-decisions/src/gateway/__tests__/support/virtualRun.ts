/** A request at a virtual target. */
export interface VirtualRun {
    content: string;
    onCut: () => void;
    /** Called when the target refuses it, with the pause that the target asks for, if any. */
    onRefused: (pauseMs: number | undefined) => void;
    onDone: () => void;
}
