/**
 * One fault of a history, in virtual time. `index` selects an instance, an engine or a model. `muteAnchors` withholds the
 * anchors from an instance, and `loseAnswers` loses the answers of engines to requests.
 */
export interface VirtualFault {
    atMs: number;
    durationMs: number;
    index: number;
    kind:
        | "pauseInstance"
        | "killInstance"
        | "cutInstanceFromKv"
        | "kvDown"
        | "loseKvAnswers"
        | "killEngine"
        | "loseOrders"
        | "loseOrderAnswers"
        | "delayOrders"
        | "repeatOrders"
        | "drainEngine"
        | "newVersion"
        | "demandBurst"
        | "loseAnswers"
        | "muteAnchors";
}
