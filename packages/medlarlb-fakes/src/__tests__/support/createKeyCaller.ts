import { Agent, request } from "undici";

interface KeyedRequest {
    method?: "GET" | "POST";
    path?: string;
    host?: string;
    /** One header for each. */
    keys?: readonly string[];
    /** Further headers, as alternating names and values. */
    headers?: readonly string[];
    body?: string;
}

const NO_ANSWER = { status: 0, text: "" };

/** Creates a caller that sends requests with API keys to gateways, over one kept connection to each if `kept`. */
export const createKeyCaller = (kept = false) => {
    const dispatcher = kept ? new Agent({ connections: 1, pipelining: 1 }) : new Agent();
    const connections = new Set<unknown>();
    dispatcher.on("connect", (_origin, targets) => connections.add(targets));
    let sequence = 0;

    /** Sends a request and returns its answer, with the status 0 if there is none and the text "cut" if its connection broke. */
    const send = async (address: string, { method = "GET", path = "/safe/x", host = "site.example", keys = [], headers = [], body }: KeyedRequest = {}) => {
        sequence += 1;
        const id = `r${sequence}`;
        try {
            const res = await request(`http://${address}${path}`, {
                dispatcher,
                method,
                headers: ["host", host, "x-request-id", id, "x-deadline-ms", "2000", ...keys.flatMap(key => ["Api-Key", key]), ...headers],
                ...(body === undefined ? {} : { body }),
            });
            return { id, status: res.statusCode, text: await res.body.text().catch(() => "cut") };
        }
        catch {
            return { id, ...NO_ANSWER };
        }
    };

    return { send, connectionCount: (): number => connections.size, close: () => dispatcher.destroy() };
};
