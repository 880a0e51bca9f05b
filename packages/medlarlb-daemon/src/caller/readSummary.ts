import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { brandAs } from "medlarlb-types/brandAs";
import { createProblem } from "medlarlb-types/createProblem";
import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { Problem } from "medlarlb-types/problem";
import type { RequestId } from "medlarlb-types/requestId";
import type { RequestSummary } from "medlarlb-types/requestSummary";
import { Result } from "true-myth";

interface SummaryOptions {
    requestId: RequestId;
    defaultDeadlineMs: number;
    /** Service that a plain call names, or undefined for inference. */
    service: { name: string; nonIdempotent: boolean } | undefined;
}

const PREFIX_CHARS = 256;
const DEFAULT_PRIORITY = 5;
const MAX_DEADLINE_MS = 600_000;

const badRequest = (detail: string, remedy: string): Result<never, Problem> =>
    Result.err(createProblem("bad-request", 400, detail, remedy, { ran: "no" }));

const digest = (text: string | Buffer): string => createHash("sha256").update(text).digest("base64url").slice(0, 22);

const parseBody = (body: Buffer): Result<{ model: string; stream: boolean; prompt: string }, Problem> => {
    let parsed: Record<string, unknown>;
    try {
        parsed = JSON.parse(body.toString("utf8")) as Record<string, unknown>;
    }
    catch (err) {
        return badRequest(`the body isn't JSON: ${(err as Error).message}`, "send a JSON object with a model");
    }
    if (typeof parsed !== "object" || typeof parsed?.model !== "string") {
        return badRequest("the body names no model", "send a JSON object with a model, such as {\"model\": \"aurora\", …}");
    }
    const prompt = JSON.stringify(parsed.messages ?? parsed.prompt ?? "");
    return Result.ok({ model: parsed.model, stream: parsed.stream === true, prompt });
};

const readNumber = (req: IncomingMessage, name: string, fallback: number): number | undefined => {
    const header = req.headers[name];
    const value = header === undefined ? fallback : Number(header);
    return Number.isFinite(value) && value >= 0 ? value : undefined;
};

/** Reads the fields that the decisions need from a request's headers and body. */
export const readSummary = (req: IncomingMessage, body: Buffer, options: SummaryOptions): Result<RequestSummary, Problem> => {
    const deadlineMs = readNumber(req, "x-medlarlb-deadline-ms", options.defaultDeadlineMs);
    const priority = readNumber(req, "x-medlarlb-priority", DEFAULT_PRIORITY);
    if (deadlineMs === undefined || priority === undefined) {
        return badRequest("a deadline or priority header isn't a number", "send X-Medlarlb-Deadline-Ms and X-Medlarlb-Priority as numbers from 0 up");
    }
    const inference = options.service === undefined ? parseBody(body) : undefined;
    if (inference?.isErr === true) {
        return Result.err(inference.error);
    }
    const parsed = inference?.isOk === true ? inference.value : undefined;
    const name = options.service?.name ?? parsed?.model ?? "";
    const key = req.headers["idempotency-key"];
    const nowMs = Date.now();
    return Result.ok({
        requestId: options.requestId,
        name,
        kind: options.service === undefined ? "inference" : "service",
        arrivedAtMs: nowMs,
        deadlineAtMs: nowMs + Math.min(deadlineMs, MAX_DEADLINE_MS),
        priority,
        nonIdempotent: req.headers["x-medlarlb-non-idempotent"] === "true" || options.service?.nonIdempotent === true,
        streaming: parsed?.stream ?? false,
        fingerprint: brandAs<Fingerprint>(digest(Buffer.concat([Buffer.from(`${name}\n`), body]))),
        ...(typeof key === "string" ? { idempotencyKey: `${name}/${key}` } : {}),
        ...(parsed === undefined ? {} : { prefix: digest(`${name}/${parsed.prompt.slice(0, PREFIX_CHARS)}`) }),
    });
};
