/**
 * Returns whether an answer belongs to the request that waits for one. A late answer to an earlier request can arrive first, so
 * that the order on the connection proves nothing: the answer has to name the request. One that names none can only belong to
 * the first request of its connection. A request whose target names none is compared with nothing.
 */
export const isOwnAnswer = (requestId: string | undefined, answerId: string | undefined, isFirstAnswer: boolean): boolean =>
    requestId === undefined || answerId === requestId || (answerId === undefined && isFirstAnswer);
