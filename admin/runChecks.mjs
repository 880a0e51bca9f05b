// Runs the tests and the scenarios, and fails if any of them fails that KNOWN-RED.txt doesn't list. Prints the listed failures.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, mkdirSync, readdirSync, readFileSync, rmSync } from "node:fs";

const FOLDER = ".checks";
const VIRTUAL_TIME_FILE = `${FOLDER}/mocha-virtual-time.json`;
const REAL_TIME_FILE = `${FOLDER}/mocha-real-time.json`;
const SCENARIO_FILE = `${FOLDER}/scenarios.json`;

const runTool = async (command, args, env = {}) => {
    const child = spawn("npx", [command, ...args], { stdio: "inherit", env: { ...process.env, ...env } });
    const [status] = await once(child, "exit");
    return status;
};

const runMocha = (file, patterns) =>
    runTool("mocha", [...patterns, "--reporter", "./admin/checkReporter.cjs", "--reporter-option", `output=${file}`]);

const readMochaOutcomes = file => (existsSync(file) ? JSON.parse(readFileSync(file, "utf8")) : []);

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
// The tests of the decisions run in virtual time, so that those of real time beside them don't change their results.
const testsInVirtualTime = "packages/medlarlb-decisions/src/**/__tests__/*.test.ts";
const testsInRealTime = [
    ...readdirSync("packages").filter(name => name !== "medlarlb-decisions").map(name => `packages/${name}/src/**/__tests__/*.test.ts`),
    "platform/src/__tests__/*.test.ts",
];
const runScenarios = () =>
    runTool("cucumber-js", ["--format", "progress", "--format", `json:${SCENARIO_FILE}`], { NODE_OPTIONS: "--import=tsx" });
const [[virtualTimeStatus, scenarioStatus], realTimeStatus] = await Promise.all([
    runMocha(VIRTUAL_TIME_FILE, [testsInVirtualTime]).then(async status => [status, await runScenarios()]),
    runMocha(REAL_TIME_FILE, testsInRealTime),
]);

const mochaOutcomes = [VIRTUAL_TIME_FILE, REAL_TIME_FILE].map(readMochaOutcomes);
const scenarioOutcomes = readScenarioOutcomes();
const outcomes = [...mochaOutcomes.flat(), ...scenarioOutcomes];
const failed = outcomes.filter(each => !each.passed).map(each => each.name);
const knownRed = readKnownRed();
const unexpected = failed.filter(name => !knownRed.includes(name));
// A runner that reports no test, or fails without reporting a failed test, has not run all its tests.
const incomplete = [[virtualTimeStatus, mochaOutcomes[0]], [realTimeStatus, mochaOutcomes[1]], [scenarioStatus, scenarioOutcomes]]
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
