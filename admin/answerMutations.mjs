// Breaks of the guards on whose answer an answer is, and on what proves that a request hasn't run.
const TARGETS = "packages/medlarlb-targets/src";
const RELAY = "packages/medlarlb-daemon/src/gateway/createAnswerRelay.ts";
const CONNECTION_POOL_TEST = `${TARGETS}/__tests__/createConnectionPool.test.ts`;
const FOREIGN_ANSWERS_TEST = "packages/medlarlb-fakes/src/__tests__/foreignAnswers.test.ts";

export const answerMutations = [
    {
        invariant: "gateway, whose answer: an answer that names another request is taken for the own one",
        file: `${TARGETS}/isOwnAnswer.ts`,
        from: "requestId === undefined || answerId === requestId",
        to: "requestId === undefined || answerId !== undefined",
        check: CONNECTION_POOL_TEST,
    },
    {
        invariant: "gateway, whose answer: an answer that names no request is believed on a connection that carried others",
        file: `${TARGETS}/isOwnAnswer.ts`,
        from: "answerId === undefined && isFirstAnswer",
        to: "answerId === undefined",
        check: CONNECTION_POOL_TEST,
    },
    {
        invariant: "gateway, whose answer: an answer that names no request is believed after one to another request",
        file: `${TARGETS}/createAnswerReader.ts`,
        from: "&& foreignAnswers === 0",
        to: "",
        check: CONNECTION_POOL_TEST,
    },
    {
        invariant: "gateway, whose answer: a connection carries further requests after an answer that names none",
        file: `${TARGETS}/createAnswerReader.ts`,
        from: "foreignAnswers > 0 || hasUntraceableAnswer",
        to: "foreignAnswers > 0",
        check: CONNECTION_POOL_TEST,
    },
    {
        invariant: "gateway, whose answer: a connection carries further requests after an answer to another one",
        file: `${TARGETS}/createAnswerReader.ts`,
        from: "foreignAnswers > 0 || hasUntraceableAnswer",
        to: "hasUntraceableAnswer",
        check: CONNECTION_POOL_TEST,
    },
    {
        invariant: "gateway, whose answer: answers to other requests may come without end",
        file: `${TARGETS}/createAnswerReader.ts`,
        from: "foreignBytes > MAX_FOREIGN_BYTES",
        to: "foreignBytes < 0",
        check: CONNECTION_POOL_TEST,
    },
    {
        invariant: "gateway, whose answer: the end of an answer to another request ends the own one",
        file: `${TARGETS}/createAnswerReader.ts`,
        from: "!isForeign && parser.isCloseDelimited()",
        to: "parser.isCloseDelimited()",
        check: CONNECTION_POOL_TEST,
    },
    {
        invariant: "gateway, whose answer: an idle connection is given to two requests",
        file: `${TARGETS}/createConnectionPool.ts`,
        from: "idle.splice(position, 1);\n        }\n        if (idle.length === 0)",
        to: "idleByAddress.set(address, idle.filter((_each, index) => index !== position));\n        }\n        if (idle.length === 0)",
        check: CONNECTION_POOL_TEST,
    },
    {
        invariant: "gateway, whose answer: a request is sent again on the connection on which an attempt of it failed",
        file: `${TARGETS}/createTargetConnection.ts`,
        from: "(carriedIds.has(requestId) || failedIds.has(requestId))",
        to: "false",
        check: FOREIGN_ANSWERS_TEST,
        build: true,
    },
    {
        invariant: "gateway, true refusals: a target's status that says \"not run\" is passed on although the target doesn't say so",
        file: RELAY,
        from: "NOT_RUN_STATUSES.has(status) &&",
        to: "status === 0 &&",
        check: FOREIGN_ANSWERS_TEST,
        build: true,
    },
    {
        invariant: "gateway, true refusals: \"not run\" is believed beside any status",
        file: RELAY,
        from: "!REFUSAL_STATUSES.has(status)",
        to: "status === 0",
        check: FOREIGN_ANSWERS_TEST,
        build: true,
    },
    {
        invariant: "gateway, whose answer: each repeat of a refused request takes up one more connection",
        file: `${TARGETS}/createConnectionPool.ts`,
        from: "idle.at(-1)?.connection.close();",
        to: "",
        check: "packages/medlarlb-fakes/src/__tests__/fullTargets.test.ts",
        build: true,
    },
    {
        invariant: "gateway, true refusals: a refusal that names no request is believed",
        file: RELAY,
        from: "(answerHeaders.callerRequestId ?? \"\") !== metadata.callerRequestId",
        to: "status === 0",
        check: FOREIGN_ANSWERS_TEST,
        build: true,
    },
];
