import type { ReturnRecord, SentRequest } from "./returnRecord.js";

/** Bounds of the platform's pages in ms: in force after the acknowledgement, drained after it, and without disturbance before a request. */
const IN_FORCE_MS = 2_000;
const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
/** Time in ms after an instance has served a version from which it may not serve an older one. */
const REGRESSION_SLACK_MS = 250;
const NO_ROUTE_STATUS = 404;

const isSameProcess = (one: SentRequest, other: SentRequest): boolean => one.gateway === other.gateway && one.boot === other.boot;

/** Lists what a round with a return of the store broke: configurations that weren't in force, and requests to targets that leave. */
export const findReturnFaults = ({ sent, disturbances, versions, brokenVersions, leavings, runs }: ReturnRecord): string[] => {
    const isDisturbed = ({ gateway, sentAtMs }: SentRequest, fromMs: number, stopsOnly: boolean): boolean => disturbances.some(each =>
        (each.gateway ?? gateway) === gateway && (each.isStop || !stopsOnly) && each.fromMs <= sentAtMs && each.toMs > fromMs);
    const isInTouch = (request: SentRequest): boolean => !isDisturbed(request, request.sentAtMs - CONTACT_MS, false);
    /** An acknowledgement counts from when the store has been without disturbance for a while. */
    const stableFromMs = (atMs: number): number => {
        const outages = disturbances.filter(each => each.gateway === undefined && each.fromMs <= atMs && each.toMs > atMs - CONTACT_MS);
        return Math.max(atMs, ...outages.map(each => each.toMs + CONTACT_MS));
    };
    const describe = (fault: string, { id, gateway, boot, path, status, sentAtMs }: SentRequest): string =>
        `${fault}: ${id} by gateway ${gateway}.${boot} at ${Math.round(sentAtMs)}: ${status} for ${path}`;

    const configFaults = sent.flatMap(each => {
        const asked = Number(/^\/v(\d+)\//.exec(each.path)?.[1]);
        const acknowledgedAtMs = versions.find(known => known.version === asked)?.acknowledgedAtMs ?? Number.POSITIVE_INFINITY;
        const isServed = each.status !== NO_ROUTE_STATUS && each.status !== 0;
        if (brokenVersions.includes(asked) && isServed) {
            return describe("a broken version was taken", each);
        }
        if (each.status !== NO_ROUTE_STATUS || acknowledgedAtMs === Number.POSITIVE_INFINITY) {
            return [];
        }
        const served = sent.find(other => isSameProcess(other, each) && other.path === each.path && other.status === 200);
        if (served !== undefined && each.sentAtMs > served.doneAtMs + REGRESSION_SLACK_MS) {
            return describe("a version came back older", each);
        }
        return isInTouch(each) && each.sentAtMs > acknowledgedAtMs + IN_FORCE_MS ? describe("a version wasn't in force", each) : [];
    });

    const sentById = new Map(sent.map(each => [each.id, each]));
    const drainFaults = leavings.flatMap(({ targetId, atMs, way }) => {
        const reached = runs.filter(run => run.targetId === targetId).flatMap(run => sentById.get(run.requestId) ?? []);
        return reached.filter(each => {
            if (way !== "answers") {
                return each.sentAtMs > stableFromMs(atMs) + DRAIN_MS && isInTouch(each);
            }
            const answers = reached.filter(other => isSameProcess(other, each) && other.sentAtMs > atMs);
            const toldAtMs = Math.min(...answers.map(other => other.doneAtMs));
            return each.sentAtMs > toldAtMs + DRAIN_MS && !isDisturbed(each, toldAtMs, true);
        }).map(each => describe(`a request reached ${targetId}, ${way} at ${Math.round(atMs)}`, each));
    });
    return [...configFaults, ...drainFaults];
};
