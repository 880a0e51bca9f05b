import { createServer } from "node:net";
import type { Socket } from "node:net";
import { expect } from "chai";
import { waitFor } from "../cluster/waitFor.js";
import { listen } from "../shared/listen.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { sendRawRequest } from "./support/sendRawRequest.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const CONFIG_VERSION = 4;
/** The time-out of the route of the requests. */
const ROUTE_TIMEOUT_MS = 2_000;
const ODD_ROUNDS = 3;
const REQUESTS_PER_ROUND = 4;
const HEAD_END = "\r\n\r\n";

const THOUSAND_DIGITS = "9".repeat(1_000);
const oddNumbers = ["", "0", "-1", "0.5", "1e308", "1e999", "NaN", "Infinity", "0x10", "soon", THOUSAND_DIGITS, ",", "1 2"];

/** Odd values of each header of an engine's answers. An engine that asks for a pause or names a small limit is taken at its word. */
const oddValues: Record<string, readonly string[]> = {
    "X-Server-Load": [...oddNumbers, "1e308,1e308,1e308", "-1,-1,-1", "NaN,NaN,NaN", "0,0,0", "1,1", "0,0,8,0", "0,0,8,1e308", "0,0,8,-1", "0,0,8,NaN", `0,0,${THOUSAND_DIGITS},${THOUSAND_DIGITS}`, "0,0,1e-300"],
    "Server-Limit": ["", "0", "-1", "1e308", "1e999", "NaN", "0x10", "soon", THOUSAND_DIGITS, ","],
    "Server-Leaving": ["", "0", "-1", "soon", "1e308"],
    "Retry-After": [...oddNumbers, "Wed, 21 Oct 2026 07:28:00 GMT"],
    "Keep-Alive": [...oddNumbers.map(each => `timeout=${each}`), ...oddNumbers, "timeout", "max=0"],
    "Connection": ["", ",", "soon", "keep-alive", "x-response-stamp"],
    "X-Instance-Id": ["", " ", "e1"],
    "Date": oddNumbers,
    "Set-Cookie": ["", "=", THOUSAND_DIGITS],
};

const oddReportFields: Record<string, readonly string[]> = {
    seq: ["-1", "0.5", "1e308", "1e999", "null", "\"0\"", "{}"],
    born: ["-1", "0.5", "1e308", "1e999", "null", "\"0\"", "{}"],
    // A readable list without the model, or none (null), is taken at its word.
    models: ["{}", "[null]", "[{}]", "[{\"name\":\"\"},{\"name\":\"m\"}]", "[{\"name\":\"m\",\"version\":1e308}]", "[{\"name\":\"m\",\"adapters\":[null]}]", "\"m\""],
    incoming: ["null", "{}", "[null]", "[\"\"]", "[\"/\"]", "[\"__proto__/a\"]"],
    queued: ["-1", "1e308", "1e999", "null", "\"0\""],
    active: ["-1", "1e308", "1e999", "null", "\"0\""],
    kv_used: ["-1", "1e308", "1e999", "null"],
    kv_total: ["-1", "0", "1e308", "1e999", "null"],
    at_hand: ["null", "[]", "{\"in_memory\":{}}", "{\"on_disk\":[null]}"],
    in_flight: ["1", "null", "\"true\""],
    runs: ["null", "{}", "[null]", "[[]]", "[[null]]"],
};

/** A stand-in for an engine whose answers have further header lines, and whose reports a field with any text. */
const createOddEngine = () => {
    const sockets = new Set<Socket>();
    const state: { lines: readonly string[]; report: Record<string, string>; reports: number } = { lines: [], report: {}, reports: 0 };

    const answer = (head: string): string => {
        const [, path = ""] = head.split(" ");
        const id = /^x-request-id: *(.*)$/im.exec(head)?.[1] ?? "";
        const fields = { models: "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]", in_flight: "false", seq: "0", runs: "[]", ...state.report };
        const report = `{${Object.entries(fields).map(([name, text]) => `"${name}":${text}`).join()}}`;
        const isReport = path === "/api/report";
        const body = isReport ? report : "whole";
        state.reports += Number(isReport);
        const common = ["HTTP/1.1 200 OK", `X-Request-Id: ${id}`, "X-Response-Stamp: s", `Content-Length: ${body.length}`];
        return [...common, ...isReport ? [] : state.lines, "", body].join("\r\n");
    };

    const server = createServer(socket => {
        let received = "";
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            for (let end = received.indexOf(HEAD_END); end >= 0; end = received.indexOf(HEAD_END)) {
                socket.write(answer(received.slice(0, end)));
                received = received.slice(end + HEAD_END.length);
            }
        });
    });
    return {
        server,
        state,
        close: (): void => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
};

describe("Gateway processes whose engine answers with odd values", () => {
    const stores: ReturnType<typeof createMetadataStoreServer>[] = [];
    const engine = createOddEngine();
    /** Engines whose reports are odd, each with a process of its own. */
    const engines: ReturnType<typeof createOddEngine>[] = [];
    const gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];
    let engineAddress = "";
    let sequence = 0;

    const send = (caller: string) => {
        sequence += 1;
        return sendRawRequest(caller, "/safe/x", ["Host: site.example", `X-Request-Id: r${sequence}`, "X-Model: m", "X-Token-Count: 400,20"]);
    };

    /** Sends requests to both instances, and returns the answers to those that weren't served in time. */
    const findUnserved = async (description: string, asked = gateways): Promise<unknown[]> => {
        const callers = asked.flatMap(({ caller }) => Array.from({ length: REQUESTS_PER_ROUND }, () => caller));
        const answers = await Promise.all(callers.map(send));
        return answers.filter(({ status, tookMs }) => status !== 200 || tookMs >= ROUTE_TIMEOUT_MS)
            .map(({ status, tookMs, text }) => ({ description, status, tookMs: Math.round(tookMs), body: text.split(HEAD_END)[1] }));
    };

    /** Starts a store of its own, in which nobody holds the lease of the planner, and returns its address. */
    const startStore = async (address = engineAddress): Promise<string> => {
        const store = createMetadataStoreServer();
        stores.push(store);
        const config = createOperatorConfig(CONFIG_VERSION);
        const profile = { slots: 16, kv_capacity: 100_000, models: [{ name: "m", weights_mb: 1, load_time_s: 1 }] };
        const entry = { service: "s", address, zone: "a", slots: 16, state: "ready", models: [{ name: "m", version: 1, adapters: [] }], seq: 1 };
        store.put("op/config", JSON.stringify({ ...config, services: config.services.map(each => ({ ...each, engine: profile })) }));
        store.put("servers/e1", JSON.stringify(entry));
        return listenOnFreePort(store.server);
    };

    const stopSite = (): void => {
        gateways.splice(0).forEach(gateway => gateway.stop());
        stores.splice(0).forEach(store => store.close());
        engines.splice(0).forEach(each => each.close());
    };

    before(async () => {
        engineAddress = `127.0.0.1:${await listen(engine.server, 0)}`;
    });

    after(() => engine.close());

    afterEach(() => {
        engine.state.lines = [];
        const endedCount = gateways.filter(gateway => gateway.hasEnded()).length;
        stopSite();
        expect(endedCount).to.equal(0);
    });

    for (const [name, values] of Object.entries(oddValues)) {
        it(`serve requests beside and after odd values of ${name}`, async () => {
            const unserved: unknown[] = [];
            const storeAddress = await startStore();
            const first = await startGatewayProcess(storeAddress);
            gateways.push(first, await startGatewayProcess(storeAddress, { seeds: first.peer }));
            await waitFor("both forward requests", async () => (await findUnserved("at first")).length === 0);
            for (const lines of [...values.map(value => [value]), ["", ""]]) {
                const description = `${name}: ${lines.map(each => each.slice(0, 40)).join(" and ")}`;
                engine.state.lines = lines.map(each => `${name}: ${each}`);
                for (let round = 0; round < ODD_ROUNDS; round += 1) {
                    unserved.push(...await findUnserved(`beside ${description}`));
                }
                engine.state.lines = [];
                unserved.push(...await findUnserved(`after ${description}`));
            }
            expect(unserved).to.deep.equal([]);
            const broken = gateways.flatMap(({ log }) => log.filter(each => each["event"] === "messageBroken"));
            expect(broken.map(({ kind, reason }) => ({ kind, reason }))).to.deep.equal([]);
        }).timeout(120_000);
    }

    // A planner reads the reports of the engines that it doesn't know yet.
    for (const [name, texts] of Object.entries(oddReportFields)) {
        it(`serve requests after a start beside reports with odd values of ${name}`, async () => {
            const serveBesideReport = async (text: string): Promise<unknown[]> => {
                const reporting = createOddEngine();
                engines.push(reporting);
                reporting.state.report = { [name]: text };
                const gateway = await startGatewayProcess(await startStore(`127.0.0.1:${await listen(reporting.server, 0)}`));
                gateways.push(gateway);
                await waitFor("the engine has reported", () => reporting.state.reports > 0);
                return findUnserved(`${name}: ${text}`, [gateway]);
            };
            const unserved = (await Promise.all(texts.map(serveBesideReport))).flat();
            expect(unserved).to.deep.equal([]);
        }).timeout(120_000);
    }
});
