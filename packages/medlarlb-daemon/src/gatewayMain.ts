// The handlers come before all other modules, which take a while to load: without one, a signal ends the process.
let stop = (): void => process.exit(0);
process.on("SIGTERM", () => stop());
// A running instance doesn't reload its settings.
process.on("SIGHUP", () => undefined);
void import("./gateway/runGateway.js").then(({ runGateway }) => {
    stop = runGateway();
});

export {};
