const MS_PER_SECOND = 1_000;
const TIMEOUT_PARAMETER = /(?:^|[\s,])timeout=(\d+)/i;

/** Returns the time in ms for which a target keeps an idle connection, as its `Keep-Alive` header states it. */
export const keepAliveMs = (header: string | undefined): number => {
    const seconds = TIMEOUT_PARAMETER.exec(header ?? "")?.[1];
    return seconds === undefined ? Number.POSITIVE_INFINITY : Number(seconds) * MS_PER_SECOND;
};
