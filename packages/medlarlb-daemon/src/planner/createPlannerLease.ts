import { randomUUID } from "node:crypto";
import { brandAs } from "medlarlb-types/brandAs";
import { kvKeys } from "medlarlb-types/kvKeys";
import type { OperationId } from "medlarlb-types/operationId";
import type { createKvClient } from "medlarlb-platform/createKvClient";

const LEASE_TTL_S = 5;
const RENEW_INTERVAL_MS = 1_500;
const ONLY_SHARD = 0; // each zone has a single planner key

interface LeaseOptions {
    kv: ReturnType<typeof createKvClient>;
    zone: string;
    instanceId: string;
    /** Called with the revision of the planner's key when the lease is acquired, and with undefined when it is lost. */
    onChange: (revision: number | undefined) => void;
}

/** Creates the election of a zone's planner. The instance that creates the zone's key under its KV lease is the planner. */
export const createPlannerLease = (options: LeaseOptions) => {
    const { kv } = options;
    const key = kvKeys.planner(options.zone, ONLY_SHARD);
    let leaseId: string | undefined;
    let isHolder = false;
    let renewedAtMs = 0;

    const loseLease = (): void => {
        leaseId = undefined;
        if (isHolder) {
            isHolder = false;
            options.onChange(undefined);
        }
    };

    const elect = async (): Promise<void> => {
        const current = await kv.get(key);
        if (current.isErr || current.value.pairs.length > 0) {
            return;
        }
        const granted = await kv.grantLease(LEASE_TTL_S);
        if (granted.isErr) {
            return;
        }
        const operationId = brandAs<OperationId>(randomUUID());
        const value = JSON.stringify({ instance: options.instanceId, operationId });
        const outcome = await kv.write({
            operationId,
            compares: [{ key, revision: 0 }],
            puts: [{ key, value, lease: granted.value }],
            deletes: [],
        });
        if (outcome.kind === "committed") {
            leaseId = granted.value;
            isHolder = true;
            renewedAtMs = Date.now();
            options.onChange(outcome.revision);
        }
        else {
            await kv.revokeLease(granted.value);
        }
    };

    const renew = async (id: string): Promise<void> => {
        const sentAtMs = Date.now();
        const keptAlive = await kv.keepLeaseAlive(id);
        if (keptAlive.isOk && keptAlive.value) {
            renewedAtMs = sentAtMs;
        }
        else if (keptAlive.isOk || Date.now() - renewedAtMs > LEASE_TTL_S * 1_000) {
            loseLease();
        }
    };

    let isBusy = false;
    const tick = async (): Promise<void> => {
        if (isBusy) {
            return;
        }
        isBusy = true;
        await (leaseId === undefined ? elect() : renew(leaseId));
        isBusy = false;
    };

    const timer = setInterval(() => void tick(), RENEW_INTERVAL_MS);
    return {
        start: (): void => void tick(),
        isHeld: () => isHolder,
        stop: async (): Promise<void> => {
            clearInterval(timer);
            if (leaseId !== undefined) {
                await kv.revokeLease(leaseId);
            }
        },
    };
};
