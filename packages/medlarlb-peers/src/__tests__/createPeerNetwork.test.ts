import { createConnection, Server } from "node:net";
import { expect } from "chai";
import { findFreePort } from "medlarlb-fakes/cluster/findFreePort";
import { waitFor } from "medlarlb-fakes/cluster/waitFor";
import type { InstanceId } from "medlarlb-types/instanceId";
import { createPeerNetwork } from "../createPeerNetwork.js";
import type { PeerMessage } from "../peerMessage.js";

const KEY = "a key that both instances know";

const waitUntil = (condition: () => boolean): Promise<boolean> => waitFor("the condition", condition);

const createNode = async (id: string, key: string) => {
    const port = await findFreePort();
    const received: PeerMessage[] = [];
    const closed: string[] = [];
    const broken: string[] = [];
    const network = createPeerNetwork({
        id,
        bootId: `boot-${id}`,
        key,
        host: "127.0.0.1",
        port,
        onMessage: (_peer, message) => received.push(message),
        onBroken: (_peer, kind, reason) => broken.push(`${kind}: ${reason}`),
        onClosed: reason => closed.push(reason),
        countBytes: () => undefined,
    });
    await network.listen();
    return { id: id as InstanceId, port, address: `127.0.0.1:${port}`, received, closed, broken, network };
};

describe("createPeerNetwork", () => {
    const nodes: Awaited<ReturnType<typeof createNode>>[] = [];
    const start = async (id: string, key = KEY) => {
        const node = await createNode(id, key);
        nodes.push(node);
        return node;
    };
    afterEach(() => nodes.splice(0).forEach(node => node.network.close()));

    // FAULT: the second error of the server, such as a lack of descriptors, ended the process.
    it("reports each error of its server, and goes on", async () => {
        const one = await start("one");
        const two = await start("two");
        const handles = (process as unknown as { _getActiveHandles: () => unknown[] })._getActiveHandles();
        const servers = handles.filter(each => each instanceof Server);
        const server = servers.find(each => (each.address() as { port?: number } | undefined)?.port === two.port);
        server?.emit("error", new Error("accept EMFILE"));
        server?.emit("error", new Error("accept EMFILE"));
        expect(two.closed).to.deep.equal(["the server has an error: accept EMFILE", "the server has an error: accept EMFILE"]);
        one.network.send(two.id, two.address, { kind: "pullRumours", digest: 0 });
        await waitUntil(() => two.received.length === 1);
    });

    it("delivers messages between instances that share the key", async () => {
        const one = await start("one");
        const two = await start("two");
        one.network.send(two.id, two.address, { kind: "pullRumours", digest: 0 });
        await waitUntil(() => two.received.length === 1);
        expect(two.received).to.deep.equal([{ kind: "pullRumours", digest: 0 }]);
    });

    it("closes the connection of an instance that doesn't know the shared key, and handles none of its messages", async () => {
        const one = await start("one");
        const two = await start("two", "a different key");
        two.network.send(one.id, one.address, { kind: "pullRumours", digest: 0 });
        await waitUntil(() => one.closed.length > 0);
        expect(one.closed[0]).to.include("set the same [peer] key");
        expect(one.received).to.deep.equal([]);
    });

    for (const [what, bytes] of [
        ["a frame over the limit", Buffer.from([0xff, 0xff, 0xff, 0xff])],
        ["a frame that isn't CBOR", Buffer.from([0, 0, 0, 2, 0xff, 0xff])],
        ["a frame that holds no message", Buffer.from([0, 0, 0, 1, 0x01])],
        ["a message before the handshake", Buffer.from([0, 0, 0, 7, 0xa1, 0x64, 0x6b, 0x69, 0x6e, 0x64, 0x61].concat([0x78]))],
    ] as const) {
        it(`closes only the connection that carries ${what}`, async () => {
            const one = await start("one");
            const two = await start("two");
            const hostile = createConnection({ host: "127.0.0.1", port: one.port });
            let ended = false;
            hostile.on("error", () => undefined);
            hostile.on("close", () => {
                ended = true;
            });
            hostile.resume();
            hostile.write(bytes);
            await waitUntil(() => ended);
            two.network.send(one.id, one.address, { kind: "pullRumours", digest: 0 });
            await waitUntil(() => one.received.length === 1);
        });
    }

    it("drops messages that can't be read, reports each kind once, and keeps the connection", async () => {
        const one = await start("one");
        const two = await start("two");
        for (const message of [{ kind: "pullRumours" }, { kind: "pullRumours", digest: "x" }, { kind: "later" }, { kind: "pullRumours", digest: 5 }]) {
            one.network.send(two.id, two.address, message as never);
        }
        await waitUntil(() => two.received.length === 1);
        expect(two.received).to.deep.equal([{ kind: "pullRumours", digest: 5 }]);
        expect(two.broken).to.have.length(2);
        expect(two.broken[0]).to.include("pullRumours: the field digest can't be read");
        expect(two.broken[1]).to.equal("later: the kind isn't known");
        expect(two.closed).to.deep.equal([]);
    });

    it("opens a new connection after the old one was reset", async () => {
        const one = await start("one");
        const two = await start("two");
        one.network.send(two.id, two.address, { kind: "pullRumours", digest: 0 });
        await waitUntil(() => two.received.length === 1);
        one.network.reset(two.id);
        one.network.send(two.id, two.address, { kind: "pullRumours", digest: 0 });
        await waitUntil(() => two.received.length === 2);
    });

    // FAULT: such an address ended the process.
    it("sends nothing to an address where nothing can listen, and reports it", async () => {
        const one = await createNode("one", KEY);
        for (const address of ["127.0.0.1:99999", "127.0.0.1:-1", "x y", ""]) {
            one.network.send(address as InstanceId, address, { kind: "pullDecisions", sequence: 1, after: 0 });
            one.network.send(address as InstanceId, address, { kind: "pullDecisions", sequence: 2, after: 0 });
            expect(one.closed.splice(0)).to.deep.equal([`the address ${address} of ${address} is not an IP number and a port`]);
        }
        one.network.close();
    });
});
