import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { Resource } from "medlarlb-types/resource";
import { Result } from "true-myth";
import type { CliError } from "../cliError.js";
import type { CommandContext } from "../commandContext.js";
import { exitCode } from "../exitCode.js";
import { formatDecision } from "../output/formatDecision.js";

const recordOf = (resource: Resource): DecisionRecord => resource.spec as unknown as DecisionRecord;

/** Collects the causes of some decisions, back to the first. */
const withCauses = (all: Resource[], start: Resource[]): Resource[] => {
    const byId = new Map(all.map(each => [each.name, each]));
    const found = new Set(start);
    const visit = (resource: Resource): void => {
        const cause = byId.get(recordOf(resource).cause ?? "");
        if (cause !== undefined && !found.has(cause)) {
            found.add(cause);
            visit(cause);
        }
    };
    start.forEach(visit);
    return all.filter(each => found.has(each));
};

/** Shows the chain of decisions behind a request, an item, a target, or a decision. */
export const explainCommand = async (context: CommandContext, subject: string): Promise<Result<void, CliError>> => {
    const list = await context.api.list("decisions");
    if (list.isErr) {
        return Result.err(list.error);
    }
    const { items } = list.value;
    const isAbout = (resource: Resource): boolean => {
        const record = recordOf(resource);
        return [record.subject, record.target, record.id].some(each => each === subject) || record.subject.includes(`/${subject}@`);
    };
    const chain = withCauses(items, items.filter(isAbout));
    if (chain.length === 0) {
        return Result.err({ code: exitCode.notFound, message: `no decision about ${subject} is kept; list them with \`medlarlb get decisions\`` });
    }
    chain.forEach(item => context.print(context.json ? JSON.stringify(item.spec) : formatDecision(item)));
    return Result.ok(undefined);
};
