import { createParser } from "eventsource-parser";
import { request } from "undici";

interface StreamResult {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    /** Concatenated content of the events. */
    text: string;
    /** Whether the closing event `[DONE]` arrived. */
    complete: boolean;
    /** Message of an error event. */
    error: string | undefined;
    /** Raw response body. */
    body: string;
}

/** Sends a streaming chat request and collects the answer until the response ends. */
export const readStream = async (
    callerAddress: string,
    model: string,
    prompt: string,
    headers: Record<string, string> = {},
): Promise<StreamResult> => {
    const res = await request(`http://${callerAddress}/v1/chat/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", ...headers },
        body: JSON.stringify({ model, stream: true, messages: [{ role: "user", content: prompt }] }),
        bodyTimeout: 0,
        headersTimeout: 0,
    });
    const result: StreamResult = { status: res.statusCode, headers: res.headers, text: "", complete: false, error: undefined, body: "" };
    const parser = createParser({
        onEvent: event => {
            if (event.data === "[DONE]") {
                result.complete = true;
                return;
            }
            const chunk = JSON.parse(event.data) as { choices?: { delta: { content?: string } }[]; error?: { message: string } };
            result.text += chunk.choices?.[0]?.delta.content ?? "";
            result.error = chunk.error?.message ?? result.error;
        },
    });
    for await (const chunk of res.body) {
        const text = String(chunk);
        result.body += text;
        if (res.statusCode === 200) {
            parser.feed(text);
        }
    }
    return result;
};
