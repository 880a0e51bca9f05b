import { expect } from "chai";
import type { PromptPart } from "medlarlb-types/promptPart";
import { createPromptKeys } from "../calls/createPromptKeys.js";
import { rememberPrompt } from "../calls/rememberPrompt.js";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";

const CONTEXT_TOKENS = 1_000;
/** Tokens of an engine's memory that cached parts are assumed to use at most. */
const MAX_CACHED_TOKENS = 600;
const REQUESTS = 100_000;
/** Far more parts than an engine has memory for, and far fewer than fill the memory of a process. */
const MAX_PARTS = 10_000;

const createTarget = () => ({ promptCache: { parts: new Map<string, number>(), tokens: 0 } });

const remember = (target: ReturnType<typeof createTarget>, promptParts: PromptPart[]): void => {
    const metadata = { model: "m", adapter: undefined, promptParts };
    const row = { metadata, promptKeys: createPromptKeys(metadata as CallRow["metadata"]) };
    rememberPrompt(target as unknown as PoolTarget, row as CallRow, CONTEXT_TOKENS);
};

const countTokens = ({ promptCache }: ReturnType<typeof createTarget>): number =>
    [...promptCache.parts.values()].reduce((sum, tokens) => sum + tokens, 0);

describe("the parts of prompts that a target is assumed to cache", () => {
    // FAULT: the sum of the tokens fell below zero, so that no part was removed any more.
    it("stay within its memory when callers name a part with another number of tokens", () => {
        const target = createTarget();
        remember(target, [{ id: "p", tokens: 1 }]);
        remember(target, [{ id: "p", tokens: 1e9 }]);
        for (let request = 0; request < 100; request += 1) {
            remember(target, [{ id: `own${request}`, tokens: 100 }]);
        }
        expect(countTokens(target)).to.be.within(1, MAX_CACHED_TOKENS);
        expect(target.promptCache.tokens).to.equal(countTokens(target));
    });

    // FAULT: parts without tokens were kept for as long as the process ran.
    it("are few when callers name parts without tokens", () => {
        const target = createTarget();
        for (let request = 0; request < REQUESTS; request += 1) {
            remember(target, [{ id: `own${request}`, tokens: 0 }]);
        }
        expect(target.promptCache.parts.size).to.be.within(1, MAX_PARTS);
    });
});
