import { resolve } from "node:path";
import { pathToFileURL } from "node:url";
import { cac } from "cac";
import type { createGatewayDecisions } from "medlarlb-decisions/gateway/createGatewayDecisions";
import { measureRelay } from "./bench/measureRelay.js";
import { measureSteps } from "./bench/measureSteps.js";

// Measures what an event costs the gateway: a step of the decisions without inputs, against the numbers of targets and of waiting
// calls, and the processor time of a whole gateway process per streamed request. With `--against`, another built checkout is
// measured in the same run, so that both meet the same machine.
const TARGET_COUNTS = [6, 63, 610];
const WAITING_CALLS = [0, 16, 256];
const DECISIONS_MODULE = "packages/medlarlb-decisions/lib/gateway/createGatewayDecisions.js";
const GATEWAY_SCRIPT = "packages/medlarlb-daemon/lib/gatewayMain.js";

interface DecisionsModule {
    createGatewayDecisions: typeof createGatewayDecisions;
}

const cli = cac("bench:event");
cli.option("--against <dir>", "another built checkout to measure in the same run");
const { options } = cli.parse();
const checkouts = [process.cwd(), ...(options.against === undefined ? [] : [resolve(String(options.against))])];

for (const checkout of checkouts) {
    const module = await import(pathToFileURL(resolve(checkout, DECISIONS_MODULE)).href) as DecisionsModule;
    console.log(`${checkout === process.cwd() ? "this build" : "other build"}: a step without inputs`);
    console.log("targets  waiting   mean µs  median µs");
    for (const targetCount of TARGET_COUNTS) {
        for (const waitingCalls of WAITING_CALLS) {
            const { meanUs, medianUs, waiting } = measureSteps(module.createGatewayDecisions, targetCount, waitingCalls);
            console.log([String(targetCount).padStart(7), String(waiting).padStart(8), meanUs.toFixed(2).padStart(9), medianUs.toFixed(2).padStart(10)].join(" "));
        }
    }
}
console.log("processor time of a gateway process, streams of 20 events");
console.log("build   requests  ms/request  events/s  core share  idle share");
for (const checkout of checkouts) {
    const cost = await measureRelay(resolve(checkout, GATEWAY_SCRIPT));
    console.log([
        (checkout === process.cwd() ? "this" : "other").padEnd(6),
        String(cost.requests).padStart(9),
        cost.msPerRequest.toFixed(3).padStart(11),
        cost.eventsPerSecond.toFixed(0).padStart(9),
        cost.coreShare.toFixed(3).padStart(11),
        cost.idleCoreShare.toFixed(4).padStart(11),
    ].join(" "));
}
process.exit();
