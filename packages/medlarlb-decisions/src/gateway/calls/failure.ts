import type { AnswerEvidence } from "medlarlb-types/answerEvidence";
import type { FailureCause } from "../failureCause.js";

/** How an attempt of a call has failed. */
export interface Failure {
    ran: "no" | "unknown";
    cause: FailureCause;
    reason: string;
    evidence?: AnswerEvidence | undefined;
}
