// Entry of the bundle, in which modules run in the order of their imports. An import() as in gatewayMain.ts would have the bundler wrap
// each module in a function, so that its constants are variables of that function's caller: that costs a tenth of the processor time.
import { setPlannedStop } from "./shared/setPlannedStop.js";
import { runGateway } from "./gateway/runGateway.js";

setPlannedStop(runGateway());
