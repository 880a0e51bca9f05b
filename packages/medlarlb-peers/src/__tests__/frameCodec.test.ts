import { expect } from "chai";
import { createFrameDecoder } from "../createFrameDecoder.js";
import { encodeFrame } from "../encodeFrame.js";
import type { PeerMessage } from "../peerMessage.js";

const load = (targetId: string) => ({ targetId, backlogTokens: 1_234, running: 3, runs: { aurora: 2, boreal: 1 } });
const status: PeerMessage = {
    kind: "status",
    status: {
        instanceId: "10.1.0.4:8627" as never,
        zone: "a" as never,
        ofZone: false,
        planning: true,
        arrivals: [{ service: "llm", model: "aurora", tokens: 1_800, requests: 1 }],
        waiting: [],
        loads: Array.from({ length: 6 }, (_, index) => load(`i-885584d09${index}`)),
    },
};

const roundTrip = (message: PeerMessage): { kind: string }[] => {
    const messages: { kind: string }[] = [];
    createFrameDecoder(1_000_000, each => messages.push(each))(encodeFrame(message));
    return messages;
};

describe("frameCodec", () => {
    it("decodes what it encoded, with numbered field names and with others", () => {
        const gossip: PeerMessage = { kind: "rumours", rumours: [{ key: "leaving/i-1", version: 7, value: { unlisted: [1, "kind"] }, calm: true }] };
        expect(roundTrip(status)).to.deep.equal([status]);
        expect(roundTrip(gossip)).to.deep.equal([gossip]);
    });

    it("encodes a status of six targets in less than two thirds of the bytes that it takes as JSON", () => {
        expect(encodeFrame(status).length).to.be.below(JSON.stringify(status).length * 2 / 3);
    });
});
