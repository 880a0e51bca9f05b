/**
 * What a new connection to a target's address shows.
 * - `listening`: a process accepted the connection.
 * - `refused`: the machine responded, but no process listens there.
 * - `silent`: nothing responded in time.
 */
export type ListeningState = "listening" | "refused" | "silent";
