/** One fault of a history, in virtual time. `index` picks an instance or engine. */
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
