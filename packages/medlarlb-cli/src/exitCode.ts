/** Exit codes of `medlarlb`. */
export const exitCode = {
    ok: 0,
    /** The command line or the file is wrong. */
    usage: 2,
    /** The daemon refused the request. */
    refused: 3,
    /** No daemon answers. */
    unreachable: 4,
    /** The resource doesn't exist. */
    notFound: 5,
    /** Another change got in between. */
    conflict: 6,
    /** It isn't known whether the change was accepted. */
    unknown: 7,
};
