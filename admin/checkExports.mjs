// Checks that no source module exports more than one name, which keeps modules small and easy to find.
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const listSources = folder =>
    readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const path = join(folder, entry.name);
        if (entry.isDirectory()) {
            return ["lib", "node_modules", "__tests__"].includes(entry.name) ? [] : listSources(path);
        }
        return path.endsWith(".ts") ? [path] : [];
    });

const violations = ["packages", "platform"].flatMap(listSources).flatMap(path => {
    const names = new Set([...readFileSync(path, "utf8").matchAll(/^export (?:const|type|interface|class|enum|async function|function) (\w+)/gm)].map(match => match[1]));
    return names.size > 1 ? [`${path}: exports ${[...names].join(", ")}; move all but one to files of their own`] : [];
});

for (const violation of violations) {
    console.error(violation);
}
process.exitCode = violations.length === 0 ? 0 : 1;
