/** Exit codes of the `medlarlb` command. */
export const exitCode = {
    ok: 0,
    /** The command line or the resource file is invalid. */
    usage: 2,
    /** The daemon refused the request. */
    refused: 3,
    /** No daemon responds. */
    unreachable: 4,
    /** The resource doesn't exist. */
    notFound: 5,
    /** Another change of the resource was accepted first, or the resource is still used. */
    conflict: 6,
    /** It is unknown whether the daemon accepted the change. */
    unknown: 7,
};
