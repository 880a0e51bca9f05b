// Mocha reporter that prints as the spec reporter does, and writes the outcome of each test to a file for runChecks.mjs.
const { writeFileSync } = require("node:fs");
const Mocha = require("mocha");

class CheckReporter extends Mocha.reporters.Spec {
    constructor(runner, options) {
        super(runner, options);
        const outcomes = [];
        const add = passed => test => outcomes.push({ name: test.fullTitle(), passed });
        runner.on(Mocha.Runner.constants.EVENT_TEST_PASS, add(true));
        runner.on(Mocha.Runner.constants.EVENT_TEST_FAIL, add(false));
        runner.on(Mocha.Runner.constants.EVENT_RUN_END, () => {
            writeFileSync(options.reporterOptions.output, JSON.stringify(outcomes));
        });
    }
}

module.exports = CheckReporter;
