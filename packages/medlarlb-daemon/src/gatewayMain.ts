import { setPlannedStop } from "./shared/setPlannedStop.js";

// The other modules take a while to load, in which a signal without a handler would end the process.
void import("./gateway/runGateway.js").then(({ runGateway }) => setPlannedStop(runGateway()));
