import { createPlatformServer } from "./platform/createPlatformServer.js";
import { listen } from "./shared/listen.js";

const port = await listen(createPlatformServer(), Number(process.argv[2] ?? "0"));
console.log(`ready ${port}`);
