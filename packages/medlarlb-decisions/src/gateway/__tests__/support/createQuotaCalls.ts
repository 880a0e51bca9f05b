import { brandAs } from "medlarlb-types/brandAs";
import type { RequestId } from "medlarlb-types/requestId";
import type { Workspace } from "medlarlb-types/workspace";
import type { GatewayCommand } from "../../gatewayCommand.js";
import type { GatewayInput } from "../../gatewayInput.js";
import { createServiceCall } from "./createServiceCall.js";

interface QuotaAnswer {
    atMs: number;
    workspace: string;
    status: number;
    heldMs: number;
    leftMs: number;
    retryAfterMs: number | undefined;
}

/** Creates the requests of workspaces in a virtual quota group, and records when they are sent to a target or answered. */
export const createQuotaCalls = (now: () => number, workspaceNames: readonly string[]) => {
    const calls = new Map<RequestId, { workspace: string; cost: number; arrivedAtMs: number; deadlineAtMs: number }>();
    const uses = new Map(workspaceNames.map(name => [name, [] as { atMs: number; cost: number }[]]));
    const answers: QuotaAnswer[] = [];
    let sequence = 0;
    return {
        uses,
        answers,
        create: (workspace: Workspace, cost: number, arrivedAtMs: number, timeoutMs: number): GatewayInput => {
            sequence += 1;
            const callId = brandAs<RequestId>(`c${sequence}`);
            const metadata = createServiceCall(callId, callId, arrivedAtMs, { timeoutMs });
            calls.set(callId, { workspace: workspace.name, cost, arrivedAtMs, deadlineAtMs: metadata.deadlineAtMs });
            return { kind: "call", metadata: { ...metadata, promptTokens: cost, workspace } };
        },
        recordSent: (callId: RequestId): void => {
            const call = calls.get(callId);
            if (call !== undefined) {
                calls.delete(callId);
                uses.get(call.workspace)?.push({ atMs: now(), cost: call.cost });
                const heldMs = now() - call.arrivedAtMs;
                answers.push({ atMs: now(), workspace: call.workspace, status: 200, heldMs, leftMs: 0, retryAfterMs: undefined });
            }
        },
        recordAnswer: ({ callId, status, retryAfterMs }: Extract<GatewayCommand, { kind: "answer" }>): void => {
            const call = calls.get(callId);
            if (call !== undefined) {
                calls.delete(callId);
                const { workspace, arrivedAtMs, deadlineAtMs } = call;
                answers.push({ atMs: now(), workspace, status, heldMs: now() - arrivedAtMs, leftMs: deadlineAtMs - now(), retryAfterMs });
            }
        },
    };
};
