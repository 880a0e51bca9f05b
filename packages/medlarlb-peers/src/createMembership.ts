import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { MemberRow } from "./memberRow.js";
import type { MemberState } from "./memberState.js";

const SUSPECT_MS = 2_000;
const ACCUSERS_TO_REMOVE = 2;

interface Suspicion {
    id: InstanceId;
    bootId: string;
    incarnation: number;
    accuser: string;
}

/**
 * Creates the table of members. The platform's list says who may exist; members find out who answers. A member is
 * removed when this instance can't reach it itself or two others can't, and comes back with any sign of life.
 */
export const createMembership = (self: MemberRow) => {
    const members = new Map<InstanceId, MemberState>();
    let listed = new Map<string, ListedInstance>();

    const isNewer = (row: MemberRow, known: MemberRow): boolean =>
        row.bootId !== known.bootId || row.incarnation > known.incarnation || (row.leaving && !known.leaving);

    const revive = (member: MemberState, nowMs: number): void => {
        member.state = "alive";
        member.accusers.clear();
        member.lastHeardMs = nowMs;
    };

    return {
        self,
        setListed: (instances: ListedInstance[]): void => {
            listed = new Map(instances.filter(each => each.role === "daemon").map(each => [each.id, each]));
        },
        /** Instances that may be probed: all that are listed, and members that the lagging list doesn't hold yet. */
        probeable: (): { id: InstanceId; address: string; zone: string }[] => {
            const found = new Map<InstanceId, { id: InstanceId; address: string; zone: string }>();
            for (const instance of listed.values()) {
                found.set(instance.id as InstanceId, { id: instance.id as InstanceId, address: instance.address, zone: instance.zone });
            }
            for (const { row, state } of members.values()) {
                if (state !== "dead") {
                    found.set(row.id, { id: row.id, address: row.address, zone: row.zone });
                }
            }
            found.delete(self.id);
            return [...found.values()];
        },
        /** Takes over a message straight from a member: the strongest sign of life. */
        heard: (row: MemberRow, nowMs: number): void => {
            const known = members.get(row.id);
            if (known === undefined) {
                members.set(row.id, { row, state: "alive", suspectSinceMs: 0, accusers: new Set(), lastHeardMs: nowMs });
                return;
            }
            known.row = row.bootId === known.row.bootId && row.incarnation < known.row.incarnation ? known.row : row;
            revive(known, nowMs);
        },
        /** Takes over what another instance says of a member. It revives a suspect only with a newer incarnation. */
        told: (row: MemberRow, nowMs: number): void => {
            const known = members.get(row.id);
            if (row.id === self.id) {
                return;
            }
            if (known === undefined) {
                members.set(row.id, { row, state: "alive", suspectSinceMs: 0, accusers: new Set(), lastHeardMs: nowMs });
            }
            else if (isNewer(row, known.row)) {
                known.row = row;
                revive(known, nowMs);
            }
        },
        /** Takes over a suspicion. Returns whether it is about this instance, which then refutes it. */
        suspect: (suspicion: Suspicion, nowMs: number): boolean => {
            if (suspicion.id === self.id) {
                return suspicion.bootId === self.bootId && suspicion.incarnation >= self.incarnation;
            }
            const member = members.get(suspicion.id);
            const current = member?.row.bootId === suspicion.bootId && member.row.incarnation <= suspicion.incarnation;
            if (member === undefined || !current || member.state === "dead") {
                return false;
            }
            if (member.state === "alive") {
                member.state = "suspect";
                member.suspectSinceMs = nowMs;
            }
            member.accusers.add(suspicion.accuser);
            return false;
        },
        /** Removes suspects whose time is over. */
        tick: (nowMs: number): void => {
            for (const member of members.values()) {
                const accused = member.accusers.has(self.id) || member.accusers.size >= ACCUSERS_TO_REMOVE;
                if (member.state === "suspect" && accused && nowMs - member.suspectSinceMs >= SUSPECT_MS) {
                    member.state = "dead";
                }
            }
        },
        find: (id: InstanceId): MemberState | undefined => members.get(id),
        /** Members that count as alive, this instance among them. A suspect counts until it is removed. */
        alive: (): MemberRow[] => [self, ...[...members.values()].filter(each => each.state !== "dead").map(each => each.row)],
        all: (): MemberState[] => [...members.values()],
    };
};
