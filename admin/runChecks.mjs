// Runs the tests and the scenarios, and fails if any of them fails that KNOWN-RED.txt doesn't list. Prints the listed failures.
import { spawnSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, rmSync } from "node:fs";

const FOLDER = ".checks";
const MOCHA_FILE = `${FOLDER}/mocha.json`;
const SCENARIO_FILE = `${FOLDER}/scenarios.json`;

const runTool = (command, args, env = {}) => {
    const { status } = spawnSync("npx", [command, ...args], { stdio: "inherit", env: { ...process.env, ...env } });
    return status;
};

const readMochaOutcomes = () => (existsSync(MOCHA_FILE) ? JSON.parse(readFileSync(MOCHA_FILE, "utf8")) : []);

const readScenarioOutcomes = () => {
    const features = existsSync(SCENARIO_FILE) ? JSON.parse(readFileSync(SCENARIO_FILE, "utf8") || "[]") : [];
    return features.flatMap(feature => feature.elements.map(element => ({
        name: `scenario: ${element.name}`,
        passed: element.steps.every(step => step.result.status === "passed"),
    })));
};

// Returns the names after "test: " in KNOWN-RED.txt.
const readKnownRed = () =>
    (existsSync("KNOWN-RED.txt") ? readFileSync("KNOWN-RED.txt", "utf8") : "")
        .split("\n")
        .filter(line => line.startsWith("test: "))
        .map(line => line.slice("test: ".length).trim());

rmSync(FOLDER, { recursive: true, force: true });
mkdirSync(FOLDER);
const mochaStatus = runTool("mocha", ["packages/*/src/**/__tests__/*.test.ts", "platform/src/__tests__/*.test.ts", "--reporter", "./admin/checkReporter.cjs", "--reporter-option", `output=${MOCHA_FILE}`]);
const scenarioStatus = runTool("cucumber-js", ["--format", "progress", "--format", `json:${SCENARIO_FILE}`], { NODE_OPTIONS: "--import=tsx" });

const mochaOutcomes = readMochaOutcomes();
const scenarioOutcomes = readScenarioOutcomes();
const outcomes = [...mochaOutcomes, ...scenarioOutcomes];
const failed = outcomes.filter(each => !each.passed).map(each => each.name);
const knownRed = readKnownRed();
const unexpected = failed.filter(name => !knownRed.includes(name));
// A runner that reports no test, or fails without reporting a failed test, has not run all its tests.
const incomplete = [[mochaStatus, mochaOutcomes], [scenarioStatus, scenarioOutcomes]]
    .some(([status, list]) => list.length === 0 || (status !== 0 && list.every(each => each.passed)));

for (const name of failed.filter(each => knownRed.includes(each))) {
    console.log(`known red: ${name}`);
}
for (const name of knownRed.filter(each => !failed.includes(each))) {
    console.log(`listed in KNOWN-RED.txt, but passes: ${name}`);
}
for (const name of unexpected) {
    console.log(`failed: ${name}`);
}
if (incomplete) {
    console.log("failed: a test runner ended without running all its tests");
}
console.log(`${outcomes.length - failed.length} passed, ${failed.length} failed`);
process.exitCode = unexpected.length === 0 && !incomplete ? 0 : 1;
