import { request } from "undici";

interface PostResult {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    body: Record<string, unknown>;
}

/** Posts a JSON body (a string is sent as it is) and returns the status, the headers and the JSON body of the answer. */
export const postJson = async (url: string, body: unknown, headers: Record<string, string> = {}): Promise<PostResult> => {
    const res = await request(url, {
        method: "POST",
        headers: { "content-type": "application/json", ...headers },
        body: typeof body === "string" ? body : JSON.stringify(body),
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    return { status: res.statusCode, headers: res.headers, body: await res.body.json() as Record<string, unknown> };
};
