import { request } from "undici";
import { waitFor } from "../../cluster/waitFor.js";

const ROUTE_HOST = "site.example";

/** Waits until a gateway answers a request on the path with the text of an engine. */
export const waitForAnswer = (address: string, path: string) => waitFor(`${address} answers from a target`, async () => {
    const headers = { "host": ROUTE_HOST, "x-request-id": "ready", "x-deadline-ms": "2000" };
    const res = await request(`http://${address}${path}`, { headers }).catch(() => undefined);
    return res !== undefined && res.statusCode === 200 && (await res.body.text()).startsWith("answer of e");
});
