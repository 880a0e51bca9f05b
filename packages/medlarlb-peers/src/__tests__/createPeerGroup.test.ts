import { expect } from "chai";
import { findFreePort } from "medlarlb-fakes/cluster/findFreePort";
import { waitFor } from "medlarlb-fakes/cluster/waitFor";
import { createGroupOptions } from "medlarlb-fakes/peers/createGroupOptions";
import { brandAs } from "medlarlb-types/brandAs";
import type { ZoneId } from "medlarlb-types/zoneId";
import { createPeerGroup } from "../createPeerGroup.js";
import type { PeerGroupOptions } from "../peerGroupOptions.js";

const startGroup = async (options: Partial<PeerGroupOptions>) => {
    const address = `127.0.0.1:${await findFreePort()}`;
    const group = createPeerGroup({ ...createGroupOptions(address), ...options });
    await group.start();
    return { address, group };
};

describe("createPeerGroup", () => {
    const groups: ReturnType<typeof createPeerGroup>[] = [];
    const start = async (options: Partial<PeerGroupOptions>) => {
        const started = await startGroup(options);
        groups.push(started.group);
        return started;
    };
    const introduce = (one: Awaited<ReturnType<typeof start>>, other: Awaited<ReturnType<typeof start>>): void =>
        one.group.setListed([{ id: other.address, role: "daemon", zone: brandAs<ZoneId>("a"), address: other.address, state: "live" }]);
    afterEach(() => groups.splice(0).forEach(group => group.close()));

    // FAULT: an error in the timer of the group ended the process.
    it("reports errors of its regular work, and goes on with all of it", async () => {
        const failures: string[] = [];
        let isFailing = false;
        let memberCount = 0;
        const failIfFailing = (name: string): void => {
            if (isFailing) {
                throw new TypeError(`${name}: nobody has foreseen this`);
            }
        };
        const other = await start({});
        const one = await start({
            configRevision: () => {
                failIfFailing("configRevision");
                return 0;
            },
            onMembers: alive => {
                failIfFailing("onMembers");
                memberCount = alive.length;
            },
            onError: (kind, err) => failures.push(`${kind}: ${String(err)}`),
        });
        await waitFor("the group has reported itself", () => memberCount === 1);
        isFailing = true;
        introduce(other, one);
        await waitFor("both have failed", () => new Set(failures).size === 2);
        isFailing = false;
        expect([...new Set(failures)].sort()).to.deep.equal([
            "members: TypeError: onMembers: nobody has foreseen this",
            "probe: TypeError: configRevision: nobody has foreseen this",
        ]);
        introduce(one, other);
        await waitFor("the other one is reported", () => memberCount === 2);
    });
});
