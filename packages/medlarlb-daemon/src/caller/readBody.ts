import type { IncomingMessage } from "node:http";
import { createProblem } from "medlarlb-types/createProblem";
import type { Problem } from "medlarlb-types/problem";
import { Result } from "true-myth";

/** Reads the body of a request. Stops reading as soon as the body exceeds the limit. */
export const readBody = async (req: IncomingMessage, maxBytes: number): Promise<Result<Buffer, Problem>> => {
    const chunks: Buffer[] = [];
    let size = 0;
    try {
        for await (const chunk of req) {
            size += (chunk as Buffer).length;
            if (size > maxBytes) {
                return Result.err(createProblem("body-too-large", 413, `the body is over ${maxBytes} bytes`, "send a smaller body", { ran: "no" }));
            }
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        return Result.err(createProblem("body-incomplete", 400, "the body ended early", "send the whole body", { ran: "no" }));
    }
    return Result.ok(Buffer.concat(chunks));
};
