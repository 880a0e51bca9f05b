// Breaks of the bounds on what targets and the store may send without end.
const TARGETS = "packages/medlarlb-targets/src";
const GATEWAY = "packages/medlarlb-daemon/src/gateway";
const PARSER = `${TARGETS}/createResponseParser.ts`;
const RESPONSES_TEST = `${TARGETS}/__tests__/endlessResponses.test.ts`;
const TEXT_REQUEST_TEST = `${TARGETS}/__tests__/createTextRequest.test.ts`;
const ANSWERS_TEST = "packages/medlarlb-fakes/src/__tests__/endlessAnswers.test.ts";

export const endlessMutations = [
    {
        invariant: "gateway, bytes without end: bytes that can't begin a status line are waited out",
        file: PARSER,
        from: "pending !== undefined && !mayBeginStatusLine(pending)",
        to: "pending !== undefined && pending.length < 0",
        check: RESPONSES_TEST,
    },
    {
        invariant: "gateway, bytes without end: interim responses don't count against the header section",
        file: PARSER,
        from: "remainingHeadBytes -= headBytes;",
        to: "remainingHeadBytes -= 0 * headBytes;",
        check: RESPONSES_TEST,
    },
    {
        invariant: "gateway, bytes without end: any number of interim responses may come",
        file: PARSER,
        from: "interimResponseCount += 1;",
        to: "interimResponseCount += 0;",
        check: RESPONSES_TEST,
    },
    {
        invariant: "gateway, bytes without end: chunk extensions and trailers have no bound",
        file: PARSER,
        from: "remainingChunkMetadataBytes -= length;",
        to: "remainingChunkMetadataBytes -= 0 * length;",
        check: RESPONSES_TEST,
    },
    {
        invariant: "gateway, bytes without end: the response to a control call is collected whole",
        file: `${TARGETS}/createTextRequest.ts`,
        from: "text.length() + chunk.length > maxResponseBytes",
        to: "chunk.length < 0",
        check: TEXT_REQUEST_TEST,
    },
    {
        invariant: "gateway, bytes without end: the body of a refusal is read to its end",
        file: `${GATEWAY}/createAnswerRelay.ts`,
        from: "droppedBytes > MAX_DROPPED_BYTES",
        to: "droppedBytes < 0",
        check: ANSWERS_TEST,
        build: true,
    },
    {
        invariant: "gateway, bytes without end: a long failure without the signature is relayed",
        file: `${GATEWAY}/createAnswerRelay.ts`,
        from: "answerHeaders?.stamped === true",
        to: "answerHeaders !== undefined",
        check: ANSWERS_TEST,
        build: true,
    },
    {
        invariant: "gateway, bytes without end: a continued stream may repeat any number of bytes",
        file: `${GATEWAY}/createRepeatFilter.ts`,
        from: "repeatedBytes > MAX_REPEATED_BYTES",
        to: "repeatedBytes < 0",
        check: ANSWERS_TEST,
        build: true,
    },
];
