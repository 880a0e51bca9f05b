import type { IncomingMessage } from "node:http";

/** Reads a request body as JSON. An empty body counts as an empty object. */
export const readJson = async (req: IncomingMessage): Promise<Record<string, unknown>> => {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? {} : JSON.parse(text) as Record<string, unknown>;
};
