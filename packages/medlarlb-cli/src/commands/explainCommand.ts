import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { Resource } from "medlarlb-types/resource";
import { Result } from "true-myth";
import type { CliError } from "../cliError.js";
import type { CommandContext } from "../commandContext.js";
import { exitCode } from "../exitCode.js";
import { formatDecision } from "../output/formatDecision.js";

const toDecisionRecord = (resource: Resource): DecisionRecord => resource.spec as unknown as DecisionRecord;

/** Returns the selected decisions and all their direct and indirect causes, in the order of `all`. */
const addCauses = (all: Resource[], selected: Resource[]): Resource[] => {
    const byId = new Map(all.map(each => [each.name, each]));
    const found = new Set(selected);
    const visit = (resource: Resource): void => {
        const cause = byId.get(toDecisionRecord(resource).cause ?? "");
        if (cause !== undefined && !found.has(cause)) {
            found.add(cause);
            visit(cause);
        }
    };
    selected.forEach(visit);
    return all.filter(each => found.has(each));
};

/** Prints the decisions about a request, an item or a target, or one decision by its id, together with their causes. */
export const explainCommand = async (context: CommandContext, subject: string): Promise<Result<void, CliError>> => {
    const listed = await context.api.list("decisions");
    if (listed.isErr) {
        return Result.err(listed.error);
    }
    const { items } = listed.value;
    const isAbout = (resource: Resource): boolean => {
        const record = toDecisionRecord(resource);
        return [record.subject, record.target, record.id].some(each => each === subject) || record.subject.includes(`/${subject}@`);
    };
    const chain = addCauses(items, items.filter(isAbout));
    if (chain.length === 0) {
        return Result.err({ code: exitCode.notFound, message: `no decision about ${subject} is stored; list the stored decisions with \`medlarlb get decisions\`` });
    }
    chain.forEach(item => context.print(context.json ? JSON.stringify(item.spec) : formatDecision(item)));
    return Result.ok(undefined);
};
