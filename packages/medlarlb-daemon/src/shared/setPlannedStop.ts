/** What the signal to stop does. Until the gateway is built, the process just ends. */
let stop = (): void => process.exit(0);

process.on("SIGTERM", () => stop());
// A running instance doesn't reload its settings.
process.on("SIGHUP", () => undefined);

/** Sets what the signal to stop does. The signals are handled from the time at which this module is loaded. */
export const setPlannedStop = (plannedStop: () => void): void => {
    stop = plannedStop;
};
