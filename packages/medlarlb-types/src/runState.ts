/**
 * What is known of a request at an engine whose connection has ended.
 * - `ended`: the engine's process has ended, or another one has its address.
 * - `listed`, `notListed`: the engine's report, which is some hundred ms old, names the request among its runs, or doesn't.
 * - `unreachable`: nothing responds at the engine's address.
 * - `unknown`: something responds, but no report could be read.
 */
export type RunState = "ended" | "listed" | "notListed" | "unreachable" | "unknown";
