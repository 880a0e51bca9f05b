import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { MemberInfo } from "./memberInfo.js";
import type { MemberState } from "./memberState.js";

const SUSPICION_TIMEOUT_MS = 2_000;
const REQUIRED_ACCUSER_COUNT = 2;

interface Suspicion {
    id: InstanceId;
    bootId: string;
    incarnation: number;
    accuser: string;
}

/**
 * Creates the table of members. The platform's list states which instances may exist; probes show which of them respond.
 * A member is removed when this instance itself can't reach it, or two others can't. It returns with any direct message
 * or newer incarnation.
 */
export const createMembership = (self: MemberInfo) => {
    const members = new Map<InstanceId, MemberState>();
    let listed = new Map<string, ListedInstance>();

    const isNewer = (info: MemberInfo, known: MemberInfo): boolean =>
        info.bootId !== known.bootId || info.incarnation > known.incarnation || (info.leaving && !known.leaving);

    const markAlive = (member: MemberState, nowMs: number): void => {
        member.state = "alive";
        member.suspectedBy.clear();
        member.lastSeenAtMs = nowMs;
    };

    return {
        self,
        setListed: (instances: ListedInstance[]): void => {
            listed = new Map(instances.filter(each => each.role === "daemon").map(each => [each.id, each]));
        },
        /** Returns the instances that may be probed: all listed ones, and members that the lagging list doesn't contain yet. */
        listProbeCandidates: (): { id: InstanceId; address: string; zone: string }[] => {
            const peers = new Map<InstanceId, { id: InstanceId; address: string; zone: string }>();
            for (const instance of listed.values()) {
                peers.set(instance.id as InstanceId, { id: instance.id as InstanceId, address: instance.address, zone: instance.zone });
            }
            for (const { info, state } of members.values()) {
                if (state !== "dead") {
                    peers.set(info.id, { id: info.id, address: info.address, zone: info.zone });
                }
            }
            peers.delete(self.id);
            return [...peers.values()];
        },
        /** Records a message that came directly from a member, which is the strongest sign of life. */
        recordContact: (info: MemberInfo, nowMs: number): void => {
            const known = members.get(info.id);
            if (known === undefined) {
                members.set(info.id, { info, state: "alive", suspectSinceMs: 0, suspectedBy: new Set(), lastSeenAtMs: nowMs });
                return;
            }
            known.info = info.bootId === known.info.bootId && info.incarnation < known.info.incarnation ? known.info : info;
            markAlive(known, nowMs);
        },
        /**
         * Merges what another instance reports of a member. A suspect is revived only by a new boot id, a newer incarnation or
         * the start of leaving.
         */
        mergeGossiped: (info: MemberInfo, nowMs: number): void => {
            const known = members.get(info.id);
            if (info.id === self.id) {
                return;
            }
            if (known === undefined) {
                members.set(info.id, { info, state: "alive", suspectSinceMs: 0, suspectedBy: new Set(), lastSeenAtMs: nowMs });
            }
            else if (isNewer(info, known.info)) {
                known.info = info;
                markAlive(known, nowMs);
            }
        },
        /** Records a suspicion. Returns whether it is about this instance as it runs now, which then has to refute it. */
        suspect: (suspicion: Suspicion, nowMs: number): boolean => {
            if (suspicion.id === self.id) {
                return suspicion.bootId === self.bootId && suspicion.incarnation >= self.incarnation;
            }
            const member = members.get(suspicion.id);
            const isCurrent = member?.info.bootId === suspicion.bootId && member.info.incarnation <= suspicion.incarnation;
            if (member === undefined || !isCurrent || member.state === "dead") {
                return false;
            }
            if (member.state === "alive") {
                member.state = "suspect";
                member.suspectSinceMs = nowMs;
            }
            member.suspectedBy.add(suspicion.accuser);
            return false;
        },
        /** Removes suspects with enough accusers whose suspicion has lasted for the time-out. */
        removeExpiredSuspects: (nowMs: number): void => {
            for (const member of members.values()) {
                const isConfirmed = member.suspectedBy.has(self.id) || member.suspectedBy.size >= REQUIRED_ACCUSER_COUNT;
                if (member.state === "suspect" && isConfirmed && nowMs - member.suspectSinceMs >= SUSPICION_TIMEOUT_MS) {
                    member.state = "dead";
                }
            }
        },
        find: (id: InstanceId): MemberState | undefined => members.get(id),
        /** Returns the members that count as alive, including this instance. A suspect counts until it is removed. */
        alive: (): MemberInfo[] => [self, ...[...members.values()].filter(each => each.state !== "dead").map(each => each.info)],
        all: (): MemberState[] => [...members.values()],
    };
};
