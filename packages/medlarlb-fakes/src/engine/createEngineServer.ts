import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { readJson } from "../shared/readJson.js";
import { sendJson } from "../shared/sendJson.js";
import { createAnswerTokens } from "./createAnswerTokens.js";
import { createEngineMemory } from "./createEngineMemory.js";
import { createRunTable } from "./createRunTable.js";
import type { EngineOptions } from "./engineOptions.js";

/** Faults that tests set at `/stand-in/faults`. */
interface Faults {
    /** Reports say that the engine is leaving, and new requests are refused. */
    leaving: boolean;
    /** Number of next orders whose connection is closed before they take effect. */
    loseOrders: number;
    /** Number of next orders that take effect and whose connection is closed before the response. */
    loseOrderAnswers: number;
    /** Delay before an order takes effect. */
    orderDelayMs: number;
    /** Number of tokens after which a new stream sends nothing more and stays open. 0 means never. */
    silentAfterTokens: number;
    /** Number of tokens after which the connection of a new stream is closed. 0 means never. */
    cutAfterTokens: number;
    /** The connections of report requests are closed without a response. */
    loseReports: boolean;
}

type Run = NonNullable<ReturnType<ReturnType<typeof createRunTable>["find"]>>;

/** Text in a prompt that makes the engine's process exit. */
const CRASH_PROMPT = "CRASH-THE-ENGINE";

const readPrompt = (body: Record<string, unknown>): string => {
    const messages = body.messages as { content: string }[] | undefined;
    return messages === undefined ? String(body.prompt ?? "") : messages.map(message => message.content).join(" ");
};

/** Creates the server of an engine stand-in: OpenAI-compatible calls, resumable streams, orders, reports and `/stand-in` controls. */
export const createEngineServer = (options: EngineOptions): Server => {
    const bootId = randomUUID();
    const memory = createEngineMemory(options, async bytes => {
        const answer = await request(`${options.platform}/weights?bytes=${bytes}`);
        await answer.body.dump();
    });
    const runs = createRunTable(options.slots, options.tokenMs);
    /** Format of the answer to each request: chat or plain completion, and the model's name as the caller wrote it. */
    const requestFormats = new Map<string, { chat: boolean; model: string }>();
    /** Number of started runs by prompt. */
    const promptCounts = new Map<string, number>();
    let sequence = 0;
    const faults: Faults = {
        leaving: false,
        loseOrders: 0,
        loseOrderAnswers: 0,
        orderDelayMs: 0,
        silentAfterTokens: 0,
        cutAfterTokens: 0,
        loseReports: false,
    };

    const formatChunk = (requestId: string, text: string, finishReason: string | undefined): string => {
        const format = requestFormats.get(requestId);
        const choice = format?.chat === true
            ? { index: 0, delta: { role: "assistant", content: text }, finish_reason: finishReason ?? JSON.parse("null") as unknown }
            : { index: 0, text, finish_reason: finishReason ?? JSON.parse("null") as unknown };
        const object = format?.chat === true ? "chat.completion.chunk" : "text_completion";
        return JSON.stringify({ id: requestId, object, created: 0, model: format?.model ?? "", choices: [choice] });
    };

    const streamRun = (run: Run, from: number, res: ServerResponse): void => {
        res.writeHead(200, { "content-type": "text/event-stream" });
        res.flushHeaders();
        let suppressed = false;
        const unsubscribe = runs.follow(run, from, (index, token) => {
            if (faults.cutAfterTokens > 0 && index >= faults.cutAfterTokens && from === 0) {
                res.destroy();
                suppressed = true;
            }
            if (faults.silentAfterTokens > 0 && index >= faults.silentAfterTokens && from === 0) {
                suppressed = true;
            }
            if (!suppressed) {
                res.write(`id: ${index + 1}\ndata: ${formatChunk(run.requestId, token, undefined)}\n\n`);
            }
        }, complete => {
            if (!suppressed && complete) {
                res.end(`id: ${run.tokens.length + 1}\ndata: ${formatChunk(run.requestId, "", "stop")}\n\nid: ${run.tokens.length + 2}\ndata: [DONE]\n\n`);
            }
        });
        res.on("close", unsubscribe);
    };

    const sendCompleteAnswer = (run: Run, res: ServerResponse): void => {
        const unsubscribe = runs.follow(run, 0, () => undefined, complete => {
            if (!complete) {
                res.destroy();
                return;
            }
            const format = requestFormats.get(run.requestId);
            const text = run.tokens.join("");
            const choice = format?.chat === true
                ? { index: 0, message: { role: "assistant", content: text }, finish_reason: "stop" }
                : { index: 0, text, finish_reason: "stop" };
            sendJson(res, 200, {
                id: run.requestId,
                object: format?.chat === true ? "chat.completion" : "text_completion",
                created: 0,
                model: format?.model ?? "",
                choices: [choice],
                usage: { prompt_tokens: 0, completion_tokens: run.tokens.length, total_tokens: run.tokens.length },
            });
        });
        res.on("close", unsubscribe);
    };

    const refuse = (res: ServerResponse, status: number, code: string): void =>
        sendJson(res, status, { error: { code, message: `the engine did not run the request: ${code}`, ran: "no" } });

    /** Starts a run for a completion call, unless the engine is leaving or the item isn't loaded. */
    const serveNewRun = async (req: IncomingMessage, res: ServerResponse, chat: boolean): Promise<void> => {
        const body = await readJson(req);
        const requestId = String(req.headers["x-request-id"] ?? randomUUID());
        const itemId = String(req.headers["x-medlarlb-item"] ?? body.model ?? "");
        if (faults.leaving) {
            refuse(res, 503, "leaving");
            return;
        }
        if (!memory.isResident(itemId)) {
            refuse(res, 409, "not_resident");
            return;
        }
        const prompt = readPrompt(body);
        promptCounts.set(prompt, (promptCounts.get(prompt) ?? 0) + 1);
        if (prompt.includes(CRASH_PROMPT)) {
            process.exit(1);
        }
        requestFormats.set(requestId, { chat, model: String(body.model ?? "") });
        memory.addInFlight(itemId);
        const run = runs.start(requestId, createAnswerTokens(itemId, prompt), () => memory.removeInFlight(itemId));
        if (body.stream === true) {
            streamRun(run, 0, res);
        }
        else {
            sendCompleteAnswer(run, res);
        }
    };

    /** Cancels a run (DELETE), continues its stream after the last event id, or sends its complete answer. */
    const serveExistingRun = (req: IncomingMessage, res: ServerResponse, requestId: string): void => {
        const run = runs.find(requestId);
        if (req.method === "DELETE") {
            runs.cancel(requestId);
            sendJson(res, 200, {});
        }
        else if (run === undefined) {
            refuse(res, 404, "unknown_request");
        }
        else if (req.headers.accept === "text/event-stream") {
            streamRun(run, Number(req.headers["last-event-id"] ?? "0"), res);
        }
        else {
            sendCompleteAnswer(run, res);
        }
    };

    const serveOrder = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const order = await readJson(req) as unknown as Parameters<typeof memory.order>[0];
        if (faults.loseOrders > 0) {
            faults.loseOrders -= 1;
            req.socket.destroy();
            return;
        }
        await sleep(faults.orderDelayMs);
        const state = memory.order(order);
        if (faults.loseOrderAnswers > 0) {
            faults.loseOrderAnswers -= 1;
            req.socket.destroy();
            return;
        }
        sendJson(res, 200, { orderId: order.orderId, ...state });
    };

    const serveReport = (req: IncomingMessage, res: ServerResponse): void => {
        if (faults.loseReports) {
            req.socket.destroy();
            return;
        }
        sequence += 1;
        sendJson(res, 200, {
            targetId: options.targetId,
            bootId,
            sequence,
            memoryBytes: options.memoryBytes,
            leaving: faults.leaving,
            ...memory.describe(),
            ...runs.load(),
        });
    };

    const route = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const path = req.url ?? "/";
        if (path.endsWith("/completions")) {
            await serveNewRun(req, res, path.endsWith("/chat/completions"));
        }
        else if (path.startsWith("/v1/streams/")) {
            serveExistingRun(req, res, path.slice("/v1/streams/".length));
        }
        else if (path === "/orders") {
            await serveOrder(req, res);
        }
        else if (path === "/report") {
            serveReport(req, res);
        }
        else if (path === "/stand-in/faults") {
            Object.assign(faults, await readJson(req));
            sendJson(res, 200, faults);
        }
        else {
            sendJson(res, 200, {
                violations: memory.violations,
                executions: Object.fromEntries(runs.executions),
                prompts: Object.fromEntries(promptCounts),
            });
        }
    };

    return createServer((req, res) => {
        route(req, res).catch(() => res.destroy());
    });
};
