/**
 * Why an attempt failed. `full`, `notHeld`, `leaving` and `otherTarget` are refusals of the target; `connect` means that
 * no connection opened; `cut` that the answer broke off or never came, `garbled` that it was no whole answer of the
 * request, `error` that the target answered with a failure of its own, `silent` that nothing came in time.
 */
export type FailureCause = "full" | "notHeld" | "leaving" | "otherTarget" | "connect" | "cut" | "garbled" | "error" | "silent";
