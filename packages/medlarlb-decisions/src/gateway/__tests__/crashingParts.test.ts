import { expect } from "chai";
import type { Fingerprint } from "medlarlb-types/fingerprint";
import { findCrashingRequests } from "../crashes/findCrashingRequests.js";
import { createVirtualService } from "./support/createVirtualService.js";

/** Start of the content of requests that end each target which begins to run them: those with one part in their prompts. */
const CRASHING = "crashing";
const CRASHING_PART = "c4a5";
const FIRST_PART = "f125";
/** Time in ms after which all instances have to know that a part has ended five targets, and requests with it allowed from then on. */
const CONTACT_MS = 3_000;
const MAX_LATER_SENDS = 3;
const CERTAIN_ENDS = 5;
/** Share of the sound requests served in calm that has to be served while the others still come. */
const MIN_SERVED_RATIO = 0.5;

const createService = (seed: number, instances: number, targets: number) =>
    createVirtualService({ seed, instances, zones: 3, targets, isCrashing: content => content.startsWith(CRASHING) });

type Service = ReturnType<typeof createService>;

interface Load {
    /** Ms between two requests with the part, and between two sound ones. */
    crashingEveryMs: number;
    soundEveryMs: number;
    /** Prompt parts but the last of those requests, and of the sound ones. */
    crashingParts: readonly string[];
    soundParts: (index: number) => readonly string[];
    /** Whether requests with the part were sound before. */
    wasSound?: boolean;
}

/** Sends sound requests, and from a time on requests with the part, no two alike, at all instances. */
const runLoad = (service: Service, durationMs: number, load: Load, withCrashing: boolean): void => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
        const index = Math.round(service.now());
        const instance = (): number => Math.floor(service.random() * service.instances.length);
        if (elapsedMs % load.soundEveryMs === 0) {
            service.sendCall(instance(), `sound-${index}`, { kind: index % 20 === 0 ? "unsafe" : "safe" }, load.soundParts(index));
        }
        if (!withCrashing && load.wasSound === true && elapsedMs % load.crashingEveryMs === 0) {
            service.sendCall(instance(), `sound-${index}-before`, {}, load.crashingParts);
        }
        if (withCrashing && elapsedMs % load.crashingEveryMs === 0) {
            service.sendCall(instance(), `${CRASHING}-${index}`, { kind: index % 20 === 0 ? "unsafe" : "safe" }, load.crashingParts);
        }
        service.run(10);
    }
};

const countLaterSends = ({ ends, arrivals }: Service): number => {
    const endTimes = ends.filter(end => end.contents.some(content => content.startsWith(CRASHING))).map(end => end.atMs);
    const certainAtMs = endTimes[CERTAIN_ENDS - 1] ?? Number.POSITIVE_INFINITY;
    return arrivals.filter(each => each.content.startsWith(CRASHING) && each.inTouch && each.atMs > certainAtMs + CONTACT_MS).length;
};

/** Share of the sound requests sent in a span that were completed. */
const servedRatio = ({ completions, arrivals, answers }: Service, fromMs: number, toMs: number): number => {
    const sentAtMs = (content: string): number => Number(content.split("-")[1]);
    const isIn = (content: string): boolean => content.startsWith("sound-") && sentAtMs(content) >= fromMs && sentAtMs(content) < toMs;
    const sent = new Set([...arrivals, ...answers].map(each => each.content).filter(isIn));
    return new Set(completions.map(each => each.content).filter(isIn)).size / sent.size;
};

describe("requests that share one part of their prompts and end every target which runs them", () => {
    const loads: Record<string, Load> = {
        "with the part in the second place": {
            crashingEveryMs: 150,
            soundEveryMs: 50,
            crashingParts: [FIRST_PART, CRASHING_PART],
            soundParts: index => [FIRST_PART, `5e55${index % 7}`],
        },
        "with the part in the first place": {
            crashingEveryMs: 150,
            soundEveryMs: 50,
            crashingParts: [CRASHING_PART, FIRST_PART],
            soundParts: () => [FIRST_PART],
        },
        "with a part that was sound before": {
            crashingEveryMs: 300,
            soundEveryMs: 10,
            crashingParts: [FIRST_PART, CRASHING_PART],
            soundParts: index => [FIRST_PART, `5e55${index % 7}`],
            wasSound: true,
        },
        "with all other parts in common with sound ones, and rare": {
            crashingEveryMs: 1_000,
            soundEveryMs: 50,
            crashingParts: [FIRST_PART, CRASHING_PART, "a11d"],
            soundParts: () => [FIRST_PART, "a11d"],
        },
    };
    for (const [name, load] of Object.entries(loads)) {
        for (const [instances, targets] of [[6, 10], [63, 12], [195, 24]] as const) {
            it(`are kept from targets by ${instances} instances, ${name}, and sound requests are served`, () => {
                const service = createService(1, instances, targets);
                service.run(1_000);
                runLoad(service, 4_000, load, false);
                const beganAtMs = service.now();
                runLoad(service, 24_000, load, true);
                const calm = servedRatio(service, 1_000, beganAtMs - 500);
                const served = servedRatio(service, beganAtMs + 12_000, beganAtMs + 23_000);
                expect(countLaterSends(service)).to.be.at.most(MAX_LATER_SENDS);
                expect(served).to.be.at.least(calm * MIN_SERVED_RATIO);
            });
        }
    }
});

describe("a prompt part that most requests share", () => {
    it("isn't blamed for targets that end one after the other for other reasons", () => {
        const service = createService(3, 6, 6);
        service.run(1_000);
        for (let index = 0; index < 18; index += 1) {
            for (let count = 0; count < 20; count += 1) {
                service.sendCall(Math.floor(service.random() * 6), `sound-${index}-${count}`, { kind: "unsafe" }, [FIRST_PART]);
                service.run(40);
            }
            service.targets[index % 6]?.crash();
        }
        expect(service.ends.filter(end => end.contents.length > 0).length, "ends under requests with the part").to.be.at.least(CERTAIN_ENDS);
        expect(service.answers.filter(each => each.reason.includes("prompt part"))).to.deep.equal([]);
    });
});

describe("the blame for ended targets", () => {
    /** Judges ends by the keys of their requests; parts begin with "part:". Parts and requests in `completed` were completed before. */
    const judge = (ends: string[][], completed: string[] = []) => {
        const { crashing, parts } = findCrashingRequests(ends.map(keys => new Set(keys as Fingerprint[])), key => completed.includes(key));
        return { requests: [...crashing.keys()], parts: parts.map(each => each.keys.join()) };
    };
    const repeat = (count: number, keys: (index: number) => string[]): string[][] =>
        Array.from({ length: count }, (_, index) => keys(index));

    it("falls on a part that all ends have in common, from the fourth on", () => {
        expect(judge(repeat(3, index => [`r${index}`, "part:x"]))).to.deep.equal({ requests: [], parts: [] });
        expect(judge(repeat(4, index => [`r${index}`, "part:x"]))).to.deep.equal({ requests: [], parts: ["part:x"] });
    });

    it("falls on a request rather than on a part that was on no more targets", () => {
        expect(judge(repeat(4, () => ["r", "part:x"]))).to.deep.equal({ requests: ["r"], parts: [] });
    });

    it("falls on the part if several requests with it were sent twice", () => {
        const ends = repeat(6, index => [`r${Math.floor(index / 2)}`, "part:x"]);
        expect(judge(ends)).to.deep.equal({ requests: [], parts: ["part:x"] });
    });

    it("falls on parts together that were never seen apart, and on the one that was seen without the other", () => {
        const together = repeat(4, index => [`r${index}`, "part:x", "part:y"]);
        expect(judge(together).parts).to.deep.equal(["part:x,part:y"]);
        expect(judge([...together, ["r9", "part:x"]]).parts).to.deep.equal(["part:x"]);
    });

    it("falls on a part that was sound before rather than on requests that were on some of its targets", () => {
        const ends = repeat(6, index => [`r${index}`, `victim${Math.floor(index / 2)}`, "part:x"]);
        expect(judge(ends, ["part:x"])).to.deep.equal({ requests: [], parts: ["part:x"] });
    });

    it("falls on a part that targets have completed before only if nothing else explains six ends", () => {
        const ends = repeat(7, index => [`r${index}`, "part:first", "part:x"]);
        expect(judge(ends, ["part:first"]).parts).to.deep.equal(["part:x"]);
        expect(judge(ends, ["part:first", "part:x"]).parts, "both").to.deep.equal(["part:first,part:x"]);
        expect(judge(ends.map(keys => keys.slice(0, 2)), ["part:first"]).parts).to.deep.equal(["part:first"]);
        expect(judge(ends.slice(0, 5).map(keys => keys.slice(0, 2)), ["part:first"]).parts).to.deep.equal([]);
    });
});
