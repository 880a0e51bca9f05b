import { expect } from "chai";
import { createMembership } from "../createMembership.js";
import type { MemberInfo } from "../memberInfo.js";

const row = (id: string, extra: Partial<MemberInfo> = {}): MemberInfo => ({
    id: id as MemberInfo["id"],
    bootId: `boot-${id}` as MemberInfo["bootId"],
    zone: "a" as MemberInfo["zone"],
    address: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
    incarnation: 0,
    leaving: false,
    ...extra,
});

const accuse = (id: string, accuser: string, incarnation = 0) =>
    ({ id: id as MemberInfo["id"], bootId: `boot-${id}`, incarnation, accuser });

describe("createMembership", () => {
    it("doesn't remove a member on the word of one other instance", () => {
        const membership = createMembership(row("self"));
        membership.heard(row("m"), 0);
        membership.suspect(accuse("m", "x"), 0);
        membership.tick(60_000);
        expect(membership.alive().map(each => each.id)).to.include("m");
        membership.suspect(accuse("m", "y"), 60_000);
        membership.tick(60_000);
        expect(membership.alive().map(each => each.id)).to.not.include("m");
    });

    it("brings a member back with its own word, and not with an old one", () => {
        const membership = createMembership(row("self"));
        membership.heard(row("m"), 0);
        membership.suspect(accuse("m", "self"), 0);
        membership.tick(5_000);
        membership.told(row("m"), 5_000);
        expect(membership.alive().map(each => each.id)).to.not.include("m");
        membership.told(row("m", { incarnation: 1 }), 5_000);
        expect(membership.alive().map(each => each.id)).to.include("m");
    });

    it("lets an instance refute a suspicion of its present run only", () => {
        const membership = createMembership(row("self", { incarnation: 3 }));
        expect(membership.suspect(accuse("self", "x", 3), 0)).to.equal(true);
        expect(membership.suspect(accuse("self", "x", 2), 0)).to.equal(false);
        expect(membership.suspect({ ...accuse("self", "x", 9), bootId: "an earlier run" }, 0)).to.equal(false);
    });
});
