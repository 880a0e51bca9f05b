import type { EngineOrder } from "medlarlb-types/engineOrder";
import type { OrderOutcome } from "medlarlb-types/orderOutcome";
import type { TargetReport } from "medlarlb-types/targetReport";
import { Result } from "true-myth";
import type { Agent } from "undici";
import { request } from "undici";
import { targetReportSchema } from "./targetReportSchema.js";

interface OrderAnswer {
    outcome: OrderOutcome;
    reason: string;
}

const CONTROL_TIMEOUT_MS = 1_000;
const validOutcomes: readonly string[] = ["done", "accepted", "refused", "stale"];

/** Creates the functions that poll targets for reports and send orders to engines. */
export const createTargetControl = (dispatcher: Agent) => ({
    poll: async (address: string): Promise<Result<TargetReport, string>> => {
        try {
            const res = await request(`http://${address}/report`, {
                dispatcher,
                headersTimeout: CONTROL_TIMEOUT_MS,
                bodyTimeout: CONTROL_TIMEOUT_MS,
            });
            const parsed = targetReportSchema.safeParse(await res.body.json());
            return parsed.success
                ? Result.ok(parsed.data as TargetReport)
                : Result.err(`the report is malformed: ${parsed.error.issues[0]?.message ?? ""}`);
        }
        catch (err) {
            return Result.err((err as Error).message);
        }
    },
    /** Sends an order. A missing or malformed response counts as `lost`, so that the order is sent again with the same id. */
    order: async (address: string, order: EngineOrder): Promise<OrderAnswer> => {
        try {
            const res = await request(`http://${address}/orders`, {
                method: "POST",
                dispatcher,
                headers: { "content-type": "application/json" },
                body: JSON.stringify(order),
                headersTimeout: CONTROL_TIMEOUT_MS,
                bodyTimeout: CONTROL_TIMEOUT_MS,
            });
            const answer = await res.body.json() as Partial<OrderAnswer>;
            return validOutcomes.includes(answer.outcome ?? "")
                ? { outcome: answer.outcome as OrderOutcome, reason: String(answer.reason ?? "") }
                : { outcome: "lost", reason: "the target's answer is malformed" };
        }
        catch (err) {
            return { outcome: "lost", reason: (err as Error).message };
        }
    },
    /** Asks an engine to cancel a run. A lost cancellation only wastes time of the engine. */
    cancel: async (address: string, requestId: string): Promise<void> => {
        try {
            const res = await request(`http://${address}/v1/streams/${encodeURIComponent(requestId)}`, {
                method: "DELETE",
                dispatcher,
                headersTimeout: CONTROL_TIMEOUT_MS,
                bodyTimeout: CONTROL_TIMEOUT_MS,
            });
            await res.body.dump();
        }
        catch {
            // The run ends by itself, without the cancellation.
        }
    },
});
