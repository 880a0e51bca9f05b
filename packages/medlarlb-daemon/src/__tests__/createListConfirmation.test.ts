import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { brandAs } from "medlarlb-types/brandAs";
import type { DirectoryRelay } from "medlarlb-types/directoryRelay";
import type { InstanceId } from "medlarlb-types/instanceId";
import { waitUntil } from "../shared/waitUntil.js";
import { createDirectoryFixture } from "./support/createDirectoryFixture.js";

const watcher = brandAs<InstanceId>("a:1");
const HEARTBEAT_MS = 300;
/** Time in ms after its start in which an instance follows the watcher of its zone. */
const FOLLOWING_MS = 1_200;

describe("the directory of an instance confirms the list", () => {
    let sync: ReturnType<typeof createDirectoryFixture>["sync"];
    let stopHeartbeat = (): void => undefined;

    afterEach(() => {
        stopHeartbeat();
        sync.stop();
    });

    const createFixture = () => {
        const fixture = createDirectoryFixture();
        sync = fixture.sync;
        return fixture;
    };

    /** Starts an instance that follows the watcher of its zone. */
    const startFollower = async () => {
        const fixture = createFixture();
        sync.start();
        await sleep(20);
        const timer = setInterval(() => fixture.relay(5, []), HEARTBEAT_MS);
        stopHeartbeat = () => clearInterval(timer);
        fixture.relay(5, []);
        await sleep(FOLLOWING_MS);
        fixture.calls.splice(0);
        fixture.provedContacts.splice(0);
        return fixture;
    };
    const createAnswer = (sequence: number | undefined, revision = 5): DirectoryRelay =>
        ({ after: revision, revision, items: [], contactAgeMs: 0, readAgeMs: 0, outageEndedAgoMs: undefined, sequence });

    it("by a question to the watcher that it follows, as of the time of the question, without a call of its own", async () => {
        const { calls, questions, provedContacts } = await startFollower();
        const askedAtMs = performance.now();
        sync.confirm();
        await sleep(100);
        expect(questions.map(each => each.to)).to.deep.equal([watcher]);
        expect(provedContacts).to.deep.equal([]);
        sync.applyRelay(watcher, createAnswer(questions[0]?.sequence));
        expect(provedContacts[0]).to.be.within(askedAtMs, askedAtMs + 50);
        expect(calls).to.deep.equal([]);
    });

    // ORDER: the age of a message was taken for that of its contents, however long the message was on its way.
    it("by no message that answers no question or an earlier one", async () => {
        const { questions, provedContacts } = await startFollower();
        sync.confirm();
        const first = questions[0]?.sequence;
        sync.applyRelay(watcher, createAnswer(undefined));
        sync.applyRelay(watcher, createAnswer((first ?? 0) - 1));
        expect(provedContacts).to.deep.equal([]);
        sync.applyRelay(watcher, createAnswer(first));
        expect(provedContacts).to.have.length(1);
        sync.confirm();
        sync.applyRelay(watcher, createAnswer(first));
        expect(provedContacts).to.have.length(1);
    });

    it("by another question for those who need it while one is on its way", async () => {
        const { questions, provedContacts } = await startFollower();
        sync.confirm();
        sync.confirm();
        sync.confirm();
        expect(questions).to.have.length(1);
        sync.applyRelay(watcher, createAnswer(questions[0]?.sequence));
        expect(questions).to.have.length(2);
        sync.applyRelay(watcher, createAnswer(questions[1]?.sequence));
        expect(questions).to.have.length(2);
        expect(provedContacts).to.have.length(2);
    });

    it("by a call of its own within 700 ms if the watcher doesn't answer, or at once if it knows more or there is none", async () => {
        const silent = await startFollower();
        sync.confirm();
        await waitUntil(() => silent.provedContacts.length > 0, 700);
        expect(silent.calls).to.deep.equal(["watch 5"]);
        sync.stop();
        stopHeartbeat();

        const behind = await startFollower();
        sync.confirm();
        sync.applyRelay(watcher, createAnswer(behind.questions[0]?.sequence, 7));
        await waitUntil(() => behind.provedContacts.length > 0, 100);
        expect(behind.calls).to.deep.equal(["watch 5"]);
        sync.stop();
        stopHeartbeat();

        const alone = createFixture();
        sync.start();
        await sleep(200);
        const askedAtMs = performance.now();
        sync.confirm();
        await waitUntil(() => alone.provedContacts.some(each => each >= askedAtMs), 600);
        expect(alone.provedContacts.at(-1)).to.be.at.least(askedAtMs);
    });

    it("for others by one call that begins after their questions, and answers each of them", async () => {
        const { calls, answers, change } = createFixture();
        sync.start();
        await sleep(100);
        sync.readFor(watcher, 1);
        sync.readFor(brandAs<InstanceId>("c:1"), 8);
        sync.readFor(watcher, 2);
        await sleep(200);
        expect(answers, "while a call is under way that began before").to.deep.equal([]);
        calls.splice(0);
        change({ key: "servers/e1", value: "entry", revision: 6 });
        await waitUntil(() => answers.length > 0, 600);
        expect(answers.map(({ to, changes }) => [...to, changes.sequence, changes.after, changes.revision]))
            .to.deep.equal([[watcher, 2, 6, 6], ["c:1", 8, 6, 6]]);
        expect(calls).to.deep.equal(["watch 6"]);
    });

    it("for no one with a store that doesn't answer, and calls it no more often for the questions", async () => {
        const { calls, answers, setReachable } = createFixture();
        sync.start();
        await sleep(100);
        setReachable(false);
        await sleep(1_000);
        calls.splice(0);
        const timer = setInterval(() => sync.readFor(watcher, 1), 10);
        await sleep(2_000);
        clearInterval(timer);
        expect(answers).to.deep.equal([]);
        expect(calls.length).to.be.at.most(5);
    });
});
