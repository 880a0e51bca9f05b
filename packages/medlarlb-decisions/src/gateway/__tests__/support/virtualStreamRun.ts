/** A stream that a target sends. */
export interface VirtualStreamRun {
    isOpen: boolean;
    onEvent: (version: string, index: number) => void;
    onCut: () => void;
}
