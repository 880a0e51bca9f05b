import type { EntryOrigin } from "medlarlb-types/entryOrigin";
import type { TargetEntry } from "medlarlb-types/targetEntry";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import { holdOpenAttempts } from "../capacity/holdOpenAttempts.js";
import { isKnownLeaving } from "../leaving/isKnownLeaving.js";
import { recordLeaving } from "../leaving/recordLeaving.js";
import { dropManagedEngine } from "../placement/dropManagedEngine.js";
import { isEngineService } from "../placement/isEngineService.js";
import { leavePools } from "../pools/leavePools.js";
import { markTargetPools } from "../pools/markTargetPools.js";
import { setTargetModels } from "../pools/setTargetModels.js";
import { createPoolTarget } from "../rows/createPoolTarget.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { doubtOrigins } from "../streams/doubtOrigins.js";
import { listRecentVersions } from "../streams/listRecentVersions.js";
import { recordFormerVersion } from "../streams/recordFormerVersion.js";
import { tellUntoldOrigins } from "../streams/tellUntoldOrigins.js";
import { indexTargets } from "./indexTargets.js";
import { restoreTargetState } from "./restoreTargetState.js";

/** Initial estimate of the time to process a prompt token, and to answer a request of a plain service, in ms. */
const INITIAL_MS_PER_TOKEN = 0.055;
const INITIAL_MS_PER_REQUEST = 50;

/** Time in ms for which a planner's placement update takes precedence over the platform's list. */
const PLACEMENT_UPDATE_VALID_MS = 5_000;

const listModels = (entry: TargetEntry): PoolTarget["models"] =>
    new Map(entry.models.map(model => [model.name, new Set(model.adapters)]));

const isSameIncarnation = (one: TargetEntry, other: TargetEntry): boolean =>
    one.startedAtMs === other.startedAtMs && one.address === other.address && one.service === other.service
    && one.softwareVersion === other.softwareVersion;

const addTarget = (context: GatewayContext, entry: TargetEntry, origin: EntryOrigin | undefined): PoolTarget => {
    const isEngine = isEngineService(context, entry.service) || entry.models.length > 0;
    const msPerWorkUnit = context.serviceMsPerWorkUnit.get(entry.service) ?? (isEngine ? INITIAL_MS_PER_TOKEN : INITIAL_MS_PER_REQUEST);
    const versions = listRecentVersions(context, entry.service, 0);
    const target = createPoolTarget(entry, msPerWorkUnit, context.nowMs);
    target.leaving = isKnownLeaving(context, entry);
    context.targets.set(entry.targetId, target);
    holdOpenAttempts(context, target);
    indexTargets(context);
    setTargetModels(context, target, listModels(entry));
    const former = context.formerTargets.get(entry.targetId);
    context.formerTargets.delete(entry.targetId);
    if (former !== undefined && isSameIncarnation(former.entry, entry)) {
        restoreTargetState(context, target, former);
    }
    else {
        doubtOrigins(context, entry.targetId);
    }
    if (versions.size > 0 && !versions.has(entry.softwareVersion)) {
        tellUntoldOrigins(context, entry.service);
    }
    logEvent(context, "targetFound", {
        target: entry.targetId,
        service: entry.service,
        softwareVersion: entry.softwareVersion,
        address: entry.address,
        zone: entry.zone,
        models: entry.models.map(model => model.name),
        inMemory: entry.inMemory,
        onDisk: entry.onDisk,
        leaving: target.leaving,
        origin,
    });
    return target;
};

const updateModels = (context: GatewayContext, target: PoolTarget, entry: TargetEntry): void => {
    const models = listModels(entry);
    target.opening = new Set([...target.opening].filter(name => !models.has(name)));
    target.closing = new Set([...target.closing].filter(name => models.has(name)));
    setTargetModels(context, target, models);
};

/** Applies the entry of a target from the platform's list. */
export const applyTarget = (context: GatewayContext, entry: TargetEntry, origin?: EntryOrigin): void => {
    const existing = context.targets.get(entry.targetId);
    if (entry.leaving) {
        recordLeaving(context, entry.targetId, entry.startedAtMs);
    }
    if (existing === undefined || !isSameIncarnation(existing.entry, entry)) {
        if (existing !== undefined) {
            context.targets.delete(entry.targetId);
            recordFormerVersion(context, existing.entry);
            leavePools(context, existing);
            dropManagedEngine(context, entry.targetId);
        }
        addTarget(context, entry, origin);
        return;
    }
    // A placement update is ahead of the platform's list, which follows with the engine's next heartbeat.
    if (context.nowMs - existing.placementUpdatedAtMs > PLACEMENT_UPDATE_VALID_MS) {
        updateModels(context, existing, entry);
    }
    const leaving = isKnownLeaving(context, entry);
    if (existing.leaving !== leaving) {
        logEvent(context, "targetState", { target: entry.targetId, leaving, remainingMs: entry.remainingMs, source: "list", origin });
    }
    existing.leaving = leaving;
    existing.entry = entry;
    markTargetPools(context, existing);
};
