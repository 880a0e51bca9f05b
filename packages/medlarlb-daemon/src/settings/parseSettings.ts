import { closest, distance } from "fastest-levenshtein";
import { parse } from "ini";
import { Result } from "true-myth";
import { checkSetting } from "./checkSetting.js";
import { findLine } from "./findLine.js";
import type { SettingFault } from "./settingFault.js";
import type { SettingRule } from "./settingRule.js";
import { settingRules } from "./settingRules.js";
import type { Settings } from "./settings.js";

type Rules = readonly SettingRule[];
type Sections = Record<string, Record<string, unknown>>;

/** Largest edit distance at which a known key is suggested in place of an unknown one. */
const MAX_TYPO_DISTANCE = 4;

const isKnown = (rules: Rules, section: string, key: string): boolean => rules.some(rule => rule.section === section && rule.key === key);

const suggestRemedy = (rules: Rules, section: string, key: string): string => {
    const name = `${section}.${key}`;
    const names = rules.map(rule => `${rule.section}.${rule.key}`);
    const nearest = closest(name, names);
    return distance(name, nearest) <= MAX_TYPO_DISTANCE ? `did you mean ${nearest}?` : `remove it; the known keys are ${names.join(", ")}`;
};

const findUnknownKeys = (rules: Rules, text: string, sections: Sections): SettingFault[] =>
    Object.entries(sections).flatMap(([section, values]) => {
        const keys = typeof values === "object" ? Object.keys(values) : [""];
        return keys.filter(key => !isKnown(rules, section, key)).map(key => ({
            line: findLine(text, section, key),
            key: `${section}.${key}`,
            message: "this key isn't known",
            remedy: suggestRemedy(rules, section, key),
        }));
    });

const findInvalidValues = (rules: Rules, text: string, sections: Sections): SettingFault[] =>
    rules.flatMap(rule => {
        const rawValue = sections[rule.section]?.[rule.key];
        const value = rawValue === undefined ? rule.defaultValue : String(rawValue);
        if (value !== undefined && checkSetting(rule, value)) {
            return [];
        }
        const message = value === undefined ? "this key is missing" : `the value ${rule.kind === "secret" ? "" : `"${value}" `}doesn't fit`;
        return [{ line: findLine(text, rule.section, rule.key), key: `${rule.section}.${rule.key}`, message, remedy: rule.remedy }];
    });

const numberKinds: ReadonlySet<SettingRule["kind"]> = new Set(["number", "optionalNumber"]);

/** Returns the text of a setting. A template may leave an optional number empty, which counts as its default. */
const readValue = (rule: SettingRule, sections: Sections): string => {
    const value = String(sections[rule.section]?.[rule.key] ?? rule.defaultValue);
    return rule.kind === "optionalNumber" && value.trim() === "" ? String(rule.defaultValue) : value;
};

/**
 * Parses an INI text by the given rules and returns the settings, or all faults at once, each with its line and remedy.
 * `Parsed` has to be the type that the rules describe.
 */
export const parseSettings = <Parsed = Settings>(text: string, rules: Rules = settingRules): Result<Parsed, SettingFault[]> => {
    const sections = parse(text) as Sections;
    const faults = [...findUnknownKeys(rules, text, sections), ...findInvalidValues(rules, text, sections)].sort((a, b) => a.line - b.line);
    if (faults.length > 0) {
        return Result.err(faults);
    }
    const settings: Record<string, Record<string, string | number>> = {};
    for (const rule of rules) {
        const value = readValue(rule, sections);
        settings[rule.section] = { ...settings[rule.section], [rule.key]: numberKinds.has(rule.kind) ? Number(value) : value };
    }
    return Result.ok(settings as unknown as Parsed);
};
