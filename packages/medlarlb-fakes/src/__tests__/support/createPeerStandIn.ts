import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import { createPeerGroup } from "medlarlb-peers/createPeerGroup";
import type { GatewayMessage } from "medlarlb-peers/gatewayMessage";
import { findFreePort } from "../../cluster/findFreePort.js";
import { createGroupOptions } from "../../peers/createGroupOptions.js";

interface StandInOptions {
    configVersion: number;
    configText: string;
    /** Entries of the store that it tells instances without a store, as of a revision; none by default. */
    directory?: { items: StoreEntry[]; revision: number };
}

/** Starts a stand-in for an instance whose configuration and knowledge of the store never change. */
export const createPeerStandIn = async ({ configVersion, configText, directory }: StandInOptions) => {
    const address = `127.0.0.1:${await findFreePort()}`;
    const group = createPeerGroup({
        ...createGroupOptions(address),
        configRevision: () => configVersion,
        configSince: () => ({ revision: configVersion, base: 0, entries: [{ key: "config", value: configText, revision: configVersion }] }),
        // Its configuration stays as it is, also if others have a newer one.
        configPullDelayMs: 1_000_000,
        directorySince: () => directory,
    });
    await group.start();
    return {
        address,
        /** Knows another instance of its zone by its address, and sends it a message. */
        know: (peer: string): void => group.setListed([{ id: peer, role: "daemon", zone: brandAs("a"), address: peer, state: "live" }]),
        send: (peer: string, message: GatewayMessage): void => group.send(brandAs<InstanceId>(peer), message),
        close: group.close,
    };
};
