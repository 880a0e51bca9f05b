import { parseAddress } from "medlarlb-types/parseAddress";
import type { SettingRule } from "./settingRule.js";

const MIN_SECRET_LENGTH = 16;

const checks: Record<SettingRule["kind"], (value: string) => boolean> = {
    name: value => /^[\w.-]+$/.test(value),
    address: value => parseAddress(value) !== undefined,
    optionalAddress: value => value === "" || checks.address(value),
    anyText: () => true,
    routingPolicy: value => ["predict", "twoChoices", "random"].includes(value),
    url: value => URL.canParse(value) && value.startsWith("http"),
    number: value => value.trim() !== "" && Number.isFinite(Number(value)) && Number(value) >= 0,
    optionalNumber: value => value.trim() === "" || checks.number(value),
    secret: value => value.length >= MIN_SECRET_LENGTH,
};

/** Returns whether a value is valid for its rule. */
export const checkSetting = (rule: SettingRule, value: string): boolean => checks[rule.kind](value);
