import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import { decodeRoutingConfig } from "medlarlb-site-adapter/decodeRoutingConfig";
import { createConfigInForce } from "../gateway/createConfigInForce.js";

const [stale, fresh] = [brandAs<InstanceId>("a:1"), brandAs<InstanceId>("b:1")];
/** More than the longest time for which a configuration is held back. */
const HOLD_MS = 1_700;

const createText = (version: number, tenants?: unknown): string => JSON.stringify({
    version,
    routes: [],
    services: [],
    limits: { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 },
    tenants,
});
const withKeys = (version: number): string => createText(version, [{ name: "alpha", api_keys: ["secret"] }]);

describe("the configuration in force", () => {
    let stop: () => void;

    afterEach(() => stop());

    const createFixture = (knownPeers: InstanceId[] = []) => {
        const applied: number[] = [];
        const requests: [InstanceId, number][] = [];
        const events: [string, Record<string, unknown>][] = [];
        const config = createConfigInForce({
            decode: decodeRoutingConfig,
            now: () => performance.now(),
            random: () => 0,
            knownPeers: () => knownPeers,
            request: (id, since) => requests.push([id, since]),
            onApplied: each => applied.push(each.version),
            logEvent: (event, fields) => events.push([event, fields]),
        });
        stop = config.stop;
        const answer = (version: number, text: string, from: InstanceId): void =>
            config.receive({ revision: version, base: 0, entries: [{ key: "config", value: text, revision: version }] }, from);
        return { config, applied, requests, events, answer };
    };

    it("is the first one at once if it has no workspaces, and then each with a higher version", () => {
        const { config, applied, requests } = createFixture([fresh]);
        [createText(3), createText(2), createText(3), withKeys(5), withKeys(4)].forEach(text => config.offer(text));
        expect(applied).to.deep.equal([3, 5]);
        expect(requests).to.deep.equal([]);
    });

    it("isn't a first one with workspaces until the peers have been asked, and then the newest that they hold", async () => {
        const { config, applied, requests, answer } = createFixture([stale, fresh]);
        config.offer(withKeys(4));
        await sleep(120);
        expect(requests).to.deep.equal([[stale, 4], [fresh, 4]]);
        answer(4, "", stale);
        await sleep(120);
        expect([applied, config.current(), config.since(0)]).to.deep.equal([[], undefined, { revision: 0, base: 0, entries: [] }]);
        answer(5, withKeys(5), fresh);
        await sleep(120);
        expect(applied).to.deep.equal([5]);
        expect(config.current()?.version).to.equal(5);
    });

    it("is a first one with workspaces after a while if no peer answers", async () => {
        const { config, applied, events } = createFixture([fresh]);
        config.offer(withKeys(4));
        await sleep(HOLD_MS);
        expect(applied).to.deep.equal([4]);
        expect(events.find(([event]) => event === "configHeld")?.[1]).to.include({ version: 4, asked: 1, answered: 0 });
    });

    it("is sent only to a peer with a lower version", () => {
        const { config } = createFixture();
        config.offer(createText(3));
        expect(config.since(2).entries.map(each => each.value)).to.deep.equal([createText(3)]);
        expect(config.since(3)).to.deep.equal({ revision: 3, base: 0, entries: [] });
    });

    it("stays if a document is malformed, and the log doesn't show a key of that", () => {
        const { config, applied, events } = createFixture();
        config.offer(createText(3));
        config.offer(withKeys(4).replace("\"secret\"", "\"secret"));
        expect(applied).to.deep.equal([3]);
        expect(events).to.have.length(1);
        expect(JSON.stringify(events)).to.include("configBroken").and.not.include("secret");
    });
});
