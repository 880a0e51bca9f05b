import { Counter } from "prom-client";
import type { Registry } from "prom-client";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import { listLabelledWorkspaces } from "medlarlb-decisions/gateway/workspaces/listLabelledWorkspaces";

/** Label of workspaces without metrics of their own, and of requests that belong to none. */
const OTHER_WORKSPACES = "other";
const NO_WORKSPACE = "";
const STATUS_CLASS_SIZE = 100;
const STATUS_CLASSES = ["1xx", "2xx", "3xx", "4xx", "5xx"];

/** Creates the counter of final answers by workspace. Its labels are bounded by the configuration in force. */
export const createWorkspaceAnswers = (registry: Registry) => {
    const counter = new Counter({
        name: "medlarlb_workspace_answers_total",
        help: "Final answers to callers where the configuration has workspaces, by workspace and class of status",
        labelNames: ["workspace", "status"],
        registers: [registry],
    });
    let labelled: ReadonlySet<string> = new Set();

    return {
        /** Drops the series of workspaces that the configuration no longer has. */
        applyConfig: (config: RoutingConfig): void => {
            const next = listLabelledWorkspaces(config);
            for (const workspace of labelled) {
                if (!next.has(workspace)) {
                    STATUS_CLASSES.forEach(status => counter.remove({ workspace, status }));
                }
            }
            labelled = next;
        },
        count: (name: string | undefined, status: number): void => {
            const ownLabel = name === undefined || labelled.has(name) ? name : OTHER_WORKSPACES;
            const statusClass = STATUS_CLASSES[Math.floor(status / STATUS_CLASS_SIZE) - 1] ?? "5xx";
            counter.inc({ workspace: ownLabel ?? NO_WORKSPACE, status: statusClass });
        },
    };
};
