import type { ListedInstance } from "medlarlb-types/listedInstance";
import { Result } from "true-myth";
import { request } from "undici";
import { z } from "zod";

const listSchema = z.object({
    instances: z.array(z.object({
        id: z.string(),
        role: z.enum(["daemon", "target"]),
        zone: z.string(),
        address: z.string(),
        state: z.enum(["live", "leaving"]),
    })),
});

/** Creates the client of the platform's instance list. One malformed entry fails the whole call. */
export const createInstanceListClient = (url: string, instanceId: string, timeoutMs: number) =>
    async (): Promise<Result<ListedInstance[], string>> => {
        try {
            const res = await request(url, { headers: { "user-agent": instanceId }, headersTimeout: timeoutMs, bodyTimeout: timeoutMs });
            const parsed = listSchema.safeParse(await res.body.json());
            return parsed.success
                ? Result.ok(parsed.data.instances as ListedInstance[])
                : Result.err(`the instance list is malformed: ${parsed.error.issues[0]?.message ?? ""}`);
        }
        catch (err) {
            return Result.err((err as Error).message);
        }
    };
