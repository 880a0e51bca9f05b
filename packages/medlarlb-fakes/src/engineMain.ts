import { cac } from "cac";
import { createEngineServer } from "./engine/createEngineServer.js";
import { listen } from "./shared/listen.js";

const cli = cac("medlarlb-fake-engine");
cli.option("--port <port>", "Port on loopback; 0 means any free port", { default: 0 });
cli.option("--target <id>", "Target id", { default: "engine" });
cli.option("--memory <bytes>", "Accelerator memory in bytes", { default: 1_000 });
cli.option("--fencing <kind>", "Whether orders with a low fencing number are refused: enforced or ignored", { default: "enforced" });
cli.option("--slots <count>", "Number of requests that run at the same time", { default: 8 });
cli.option("--token-ms <ms>", "Time between two tokens in milliseconds", { default: 2 });
cli.option("--platform <url>", "URL of the platform stand-in");
const { options } = cli.parse(process.argv);

const server = createEngineServer({
    targetId: String(options.target),
    memoryBytes: Number(options.memory),
    fencing: options.fencing === "ignored" ? "ignored" : "enforced",
    slots: Number(options.slots),
    tokenMs: Number(options.tokenMs),
    platform: String(options.platform),
});
console.log(`ready ${await listen(server, Number(options.port))}`);
