import { createServiceServer } from "./service/createServiceServer.js";
import { listen } from "./shared/listen.js";

const port = await listen(createServiceServer(process.argv[3] ?? "service"), Number(process.argv[2] ?? "0"));
console.log(`ready ${port}`);
