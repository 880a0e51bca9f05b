import { readFileSync } from "node:fs";
import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { gatewaySettingRules } from "../settings/gatewaySettingRules.js";
import type { GatewaySettingsFile } from "../settings/gatewaySettingsFile.js";
import { parseSettings } from "../settings/parseSettings.js";

use(jestSnapshotPlugin());

const GOOD = [
    "[instance]",
    "id = a1",
    "zone = a",
    "[caller]",
    "address = 10.0.0.4:8080",
    "[operator]",
    "address = 10.0.0.4:9080",
    "[peer]",
    "address = 10.0.0.4:7080",
    "key = sixteen letters or more",
    "[platform]",
    "kv = http://10.0.0.2:2379",
    "instances = http://10.0.0.2:8500/instances",
].join("\n");

describe("parseSettings", () => {
    it("fills in the defaults", () => {
        const settings = parseSettings(GOOD);
        expect(settings.isOk).to.equal(true);
        expect(settings.unwrapOr(undefined as never)).toMatchSnapshot();
    });

    it("lists every fault at once, with its line and remedy, and without the secret", () => {
        const broken = GOOD
            .replace("zone = a", "zoen = a")
            .replace("10.0.0.4:8080", "caller.example:8080")
            .replace("sixteen letters or more", "short")
            .concat("\n[policy]\nmoveWeight = much\n[extra]\nthing = 1");
        const faults = parseSettings(broken);
        expect(faults.isErr).to.equal(true);
        if (faults.isErr) {
            expect(faults.error).toMatchSnapshot();
            expect(JSON.stringify(faults.error)).to.not.include("short\"");
        }
    });

    describe("with the template of the gateway's settings", () => {
        const render = (values: Record<string, string>): string => readFileSync("deploy/settings.ini", "utf8")
            .replace("{{zone}}", "a")
            .replace("{{seeds}}", "")
            .replace(/\{\{(?:listen\.\w+|platform\.address)\}\}/g, "10.0.0.4:8080")
            .replace("{{ip}}", "10.0.0.4")
            .replace(/\{\{bounds\.(\w+)\}\}/g, (_match, name: string) => values[name] ?? (name.startsWith("quota_") ? "" : "1"));
        const parseLimits = (text: string) => parseSettings<GatewaySettingsFile>(text, gatewaySettingRules).map(each => each.limits);

        it("reads the bounds of quotas", () => {
            const limits = parseLimits(render({ quota_window_s: "6", quota_overage: "0.2", quota_slack: "17000" }));
            expect(limits.unwrapOr(undefined as never)).to.include({ quotaWindowSeconds: 6, quotaOverage: 0.2, quotaSlack: 17_000 });
        });

        it("takes the defaults for bounds of quotas that the platform leaves empty", () => {
            const limits = parseLimits(render({}));
            expect(limits.unwrapOr(undefined as never)).to.include({ quotaWindowSeconds: 8, quotaOverage: 0.1, quotaSlack: 0 });
        });

        it("refuses other empty numbers, and bounds of quotas that aren't numbers", () => {
            expect(parseLimits(render({ grace_s: "" })).isErr).to.equal(true);
            expect(parseLimits(render({ quota_slack: "much" })).isErr).to.equal(true);
        });
    });
});
