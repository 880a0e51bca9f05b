/** A request at a virtual target. */
export interface VirtualRun {
    content: string;
    onCut: () => void;
    onFull: () => void;
    onDone: () => void;
}
