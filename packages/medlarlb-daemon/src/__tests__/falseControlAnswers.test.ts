import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { PlacementOrder } from "medlarlb-types/placementOrder";
import type { TargetId } from "medlarlb-types/targetId";
import { expect } from "chai";
import { createControlClients } from "../gateway/createControlClients.js";

const encodeAnswer = (status: number, body = ""): string =>
    `HTTP/1.1 ${status} Status\r\nKeep-Alive: timeout=10\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

const encodeReport = (orderCount: number): string =>
    encodeAnswer(200, JSON.stringify({ stage: "both", models: [], in_flight: false, seq: orderCount }));

describe("control calls to an engine that answers an earlier call a second time", () => {
    const order: PlacementOrder = { action: "unload", model: "m1", adapter: undefined, expectedOrderCount: 2, fence: 7 };
    let server: Server;
    let sockets: Set<Socket>;
    /** The engine's answers to the calls, in their order. */
    let answers: string[];
    /** Second answer to the first call, which comes before the next answer on the same connection. */
    let lateAnswer: string;
    let engine: { targetId: TargetId; address: string };
    let control: ReturnType<typeof createControlClients>;

    beforeEach(done => {
        sockets = new Set();
        server = createServer(socket => {
            let extra = "";
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", () => {
                socket.write(extra + (answers.shift() ?? encodeAnswer(500)));
                extra = lateAnswer;
            });
        });
        server.listen(0, "127.0.0.1", () => {
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            engine = { targetId: brandAs<TargetId>("e1"), address };
            control = createControlClients({
                storeAddress: address,
                instanceId: brandAs<InstanceId>("i1"),
                now: () => performance.now(),
                countStoreCall: () => undefined,
                onStoreEra: () => undefined,
                onLeaving: () => undefined,
            });
            done();
        });
    });

    afterEach(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });

    for (const status of [200, 202, 409, 412, 421, 503]) {
        it(`doesn't take a second answer with the status ${status} for the answer to an order`, async () => {
            answers = [encodeReport(2), encodeAnswer(status === 409 ? 202 : 409)];
            lateAnswer = encodeAnswer(status);
            await control.engines.report(engine);
            expect((await control.engines.order(engine, order)).answer).to.equal(status === 409 ? "accepted" : "conflict");
        });
    }

    it("doesn't take an earlier report for a later one", async () => {
        answers = [encodeReport(1), encodeReport(2)];
        lateAnswer = encodeReport(1);
        await control.engines.report(engine);
        const report = await control.engines.report(engine);
        expect(report.map(each => each.orderCount).unwrapOr(undefined)).to.equal(2);
    });
});
