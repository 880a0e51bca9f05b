import { expect } from "chai";
import { computeQuotaBounds } from "../quotas/computeQuotaBounds.js";
import { createSettings } from "./support/createSettings.js";

describe("the bounds of a quota", () => {
    it("keep what tokens allow in a window within its limit for each quota and each request that may fit", () => {
        const settings = createSettings("i0", "z0");
        for (const perSecond of [0.1, 0.5, 5, 100, 1_000, 321_164, 1e9]) {
            for (const burst of [0, perSecond / 10, perSecond, 30 * perSecond]) {
                for (const [unit, slack] of [["requests", 0], ["tokens", 0], ["tokens", 17_000]] as const) {
                    for (const overage of [0, 0.01, 0.1, 1]) {
                        const quota = { unit, perSecond, burst, plainTokens: 200 };
                        const limits = { ...settings, quotaOverage: overage, quotaSlack: slack };
                        const limit = (perSecond * 8 + burst) * (1 + overage) + slack;
                        const { maxCost } = computeQuotaBounds(quota, limits, 0);
                        for (const largest of [0, maxCost / 2, maxCost]) {
                            const bounds = computeQuotaBounds(quota, limits, largest);
                            const stored = bounds.storage * (bounds.isCentral ? 2 : 1);
                            const seconds = 8 + 0.3 + bounds.lifeMs / 1_000 * (bounds.isCentral ? 3 : 2);
                            expect(stored + bounds.perSecond * seconds).to.be.at.most(limit * (1 + 1e-9));
                            expect(bounds.perSecond).to.be.above(0);
                        }
                    }
                }
            }
        }
    });

    it("leave a quota 95% of its rate at the platform's settings, also without a burst", () => {
        for (const burst of [0, 1_000, 30_000]) {
            const bounds = computeQuotaBounds({ unit: "tokens", perSecond: 10_000, burst, plainTokens: 100 }, createSettings("i0", "z0"), 0);
            expect(bounds.perSecond).to.be.at.least(9_500);
        }
    });
});
