import type { Problem } from "medlarlb-types/problem";
import type { Resource } from "medlarlb-types/resource";
import { Result } from "true-myth";
import { request } from "undici";
import type { CliError } from "../cliError.js";
import { exitCode } from "../exitCode.js";

/** One change in the response to a watch, as a line of JSON. */
interface WatchLine {
    type: string;
    resourceVersion: string;
    object: Resource;
}

const RESPONSE_TIMEOUT_MS = 15_000;

/** Exit codes of HTTP statuses. Any other status of a refusal maps to `refused`. */
const exitCodeByStatus: Record<number, number> = { 404: exitCode.notFound, 409: exitCode.conflict, 504: exitCode.unknown };

const toCliError = (problem: Partial<Problem>, status: number): CliError => ({
    code: exitCodeByStatus[status] ?? exitCode.refused,
    message: `${problem.detail ?? `the daemon answered with HTTP status ${status}`}; ${problem.remedy ?? "see the daemon's log"}`,
});

/** Creates a client of the operator API. It sends each request to the given daemons in order until one responds. */
export const createApiClient = (servers: string[], operator: string) => {
    const createUnreachableError = (reason: string): CliError => ({
        code: exitCode.unreachable,
        message: `no daemon answers at ${servers.join(", ")} (${reason}); name one with --server or MEDLARLB_SERVER`,
    });

    /**
     * Sends a request to the first daemon that responds. A change is sent to the next daemon only if the connection was refused,
     * since a daemon that received it may have accepted it.
     */
    const send = async (method: "GET" | "PUT" | "DELETE", path: string, body?: unknown) => {
        let reason = "";
        for (const server of servers) {
            try {
                return Result.ok<Awaited<ReturnType<typeof request>>, CliError>(await request(`${server}${path}`, {
                    method,
                    headers: { "content-type": "application/json", "x-medlarlb-operator": operator },
                    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
                    headersTimeout: RESPONSE_TIMEOUT_MS,
                    bodyTimeout: 0,
                }));
            }
            catch (err) {
                reason = (err as Error).message;
                if (method !== "GET" && (err as NodeJS.ErrnoException).code !== "ECONNREFUSED") {
                    // The daemon may have accepted the change, so it isn't sent to another one.
                    return Result.err<Awaited<ReturnType<typeof request>>, CliError>({ code: exitCode.unknown, message: `the response was lost (${reason}), so the change may be in force; check with \`medlarlb get\`` });
                }
            }
        }
        return Result.err<Awaited<ReturnType<typeof request>>, CliError>(createUnreachableError(reason));
    };

    const requestJson = async <Answer>(method: "GET" | "PUT" | "DELETE", path: string, body?: unknown): Promise<Result<Answer, CliError>> => {
        const response = await send(method, path, body);
        if (response.isErr) {
            return Result.err(response.error);
        }
        const content = await response.value.body.json();
        return response.value.statusCode < 300
            ? Result.ok(content as Answer)
            : Result.err(toCliError(content as Partial<Problem>, response.value.statusCode));
    };

    return {
        list: (kind: string): Promise<Result<{ items: Resource[]; resourceVersion: string }, CliError>> => requestJson("GET", `/apis/v1/${kind}`),
        get: (kind: string, name: string): Promise<Result<Resource, CliError>> => requestJson("GET", `/apis/v1/${kind}/${encodeURIComponent(name)}`),
        put: (kind: string, name: string, spec: unknown, resourceVersion?: string): Promise<Result<Resource, CliError>> =>
            requestJson("PUT", `/apis/v1/${kind}/${encodeURIComponent(name)}`, { spec, ...(resourceVersion === undefined ? {} : { resourceVersion }) }),
        remove: (kind: string, name: string): Promise<Result<Resource, CliError>> => requestJson("DELETE", `/apis/v1/${kind}/${encodeURIComponent(name)}`),
        status: (): Promise<Result<Record<string, unknown>, CliError>> => requestJson("GET", "/status"),
        /** Follows the changes of a kind since version `from`: calls `onLine` for each until the watch ends or `onLine` returns false. */
        watch: async (kind: string, from: string, onLine: (line: WatchLine) => boolean): Promise<Result<void, CliError>> => {
            const response = await send("GET", `/apis/v1/${kind}?watch=1&resourceVersion=${encodeURIComponent(from)}`);
            if (response.isErr) {
                return Result.err(response.error);
            }
            if (response.value.statusCode !== 200) {
                return Result.err(toCliError(await response.value.body.json() as Partial<Problem>, response.value.statusCode));
            }
            const decoder = new TextDecoder();
            let partialLine = "";
            for await (const chunk of response.value.body) {
                const lines = `${partialLine}${decoder.decode(chunk as Buffer, { stream: true })}`.split("\n");
                partialLine = lines.pop() ?? "";
                for (const line of lines.filter(each => each !== "")) {
                    if (!onLine(JSON.parse(line) as WatchLine)) {
                        response.value.body.destroy();
                        return Result.ok(undefined);
                    }
                }
            }
            return Result.err({ code: exitCode.unreachable, message: "the daemon ended the watch; resume it with --from and the last resourceVersion" });
        },
    };
};
