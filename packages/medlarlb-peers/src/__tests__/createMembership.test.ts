import { expect } from "chai";
import { createMembership } from "../createMembership.js";
import type { MemberInfo } from "../memberInfo.js";

const createMemberInfo = (id: string, extra: Partial<MemberInfo> = {}): MemberInfo => ({
    id: id as MemberInfo["id"],
    bootId: `boot-${id}` as MemberInfo["bootId"],
    zone: "a" as MemberInfo["zone"],
    address: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
    incarnation: 0,
    leaving: false,
    ...extra,
});

const createSuspicion = (id: string, accuser: string, incarnation = 0) =>
    ({ id: id as MemberInfo["id"], bootId: `boot-${id}`, incarnation, accuser });

describe("createMembership", () => {
    it("doesn't remove a member that only one other instance suspects", () => {
        const membership = createMembership(createMemberInfo("self"));
        membership.recordContact(createMemberInfo("m"), 0);
        membership.suspect(createSuspicion("m", "x"), 0);
        membership.removeExpiredSuspects(60_000);
        expect(membership.alive().map(each => each.id)).to.include("m");
        membership.suspect(createSuspicion("m", "y"), 60_000);
        membership.removeExpiredSuspects(60_000);
        expect(membership.alive().map(each => each.id)).to.not.include("m");
    });

    it("revives a removed member with a newer incarnation of its own, and not with the old one", () => {
        const membership = createMembership(createMemberInfo("self"));
        membership.recordContact(createMemberInfo("m"), 0);
        membership.suspect(createSuspicion("m", "self"), 0);
        membership.removeExpiredSuspects(5_000);
        membership.mergeGossiped(createMemberInfo("m"), 5_000);
        expect(membership.alive().map(each => each.id)).to.not.include("m");
        membership.mergeGossiped(createMemberInfo("m", { incarnation: 1 }), 5_000);
        expect(membership.alive().map(each => each.id)).to.include("m");
    });

    it("lets an instance refute only a suspicion of its present process and incarnation", () => {
        const membership = createMembership(createMemberInfo("self", { incarnation: 3 }));
        expect(membership.suspect(createSuspicion("self", "x", 3), 0)).to.equal(true);
        expect(membership.suspect(createSuspicion("self", "x", 2), 0)).to.equal(false);
        expect(membership.suspect({ ...createSuspicion("self", "x", 9), bootId: "an earlier run" }, 0)).to.equal(false);
    });
});
